#pragma once

#include "loop/timer.h"
#include "membership/message_codec.h"
#include "membership/peer_envelope.h"
#include "membership/peer_state.h"
#include "store/vm_record.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class counters;
class event_log;
class frame_connection;
class frame_listener;
struct entry_settings;
struct heartbeat_ack;

/// Connections to the other entry daemons, their liveness, and typed messages between them.
///
/// Each entry daemon opens one connection to each peer and sends on it; it receives on the
/// connections that its peers opened. A connection on which the peer acknowledges nothing is
/// replaced before the peer counts as silent. A peer is marked as silent only when no other entry
/// daemon has received a message from it lately either. Messages of an older incarnation of a peer
/// are ignored.
class peer_mesh {
public:
    template <typename Message>
    using handler = std::function<void(const std::string& from, const Message&)>;

    peer_mesh(event_loop& loop, const entry_settings& settings, counters& metrics,
              const event_log& log);
    ~peer_mesh();
    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    /// Listen for peers and start sending heartbeats.
    /// @param fill_heartbeat sets the changing fields of this entry daemon's next heartbeat
    [[nodiscard]] absl::Status start(std::function<void(heartbeat&)> fill_heartbeat);

    /// Set the peers to the entry daemons on the VMs in the platform's VM list. Peers that are not
    /// in it are removed unless they are alive.
    void set_members(std::span<const vm_record> vms);

    /// Send to one peer; dropped silently when there is no connection to it.
    template <typename Message>
    void send(std::string_view peer, const Message& message)
    {
        this->send_packed(peer, Message::type, pack_message(message));
    }

    /// Send to every peer.
    template <typename Message>
    void broadcast(const Message& message)
    {
        const auto body = pack_message(message);
        for (const auto& [name, state] : this->peer_states)
            this->send_packed(name, Message::type, body);
    }

    /// Answer the message that is being handled. Uses the connection on which it arrived if the
    /// peer opened it, so that an entry daemon that is not known as a peer yet gets an answer too.
    template <typename Message>
    void reply(std::string_view peer, const Message& message)
    {
        this->reply_packed(peer, Message::type, pack_message(message));
    }

    /// Set the handler of one message type; malformed messages are not passed to it.
    template <typename Message>
    void on(handler<Message> action)
    {
        this->handlers[Message::type] = [action = std::move(action)](const std::string& from,
                                                                     std::string_view body) {
            if (const auto message = unpack_message<Message>(body); message.ok())
                action(from, *message);
        };
    }

    /// Set the callback for a peer that becomes alive or silent.
    void on_liveness(std::function<void(const peer_state&)> action);

    /// Add a callback for each heartbeat of a peer.
    void on_heartbeat(handler<heartbeat> action);

    /// Set the callback for a newer process that runs under this entry daemon's name.
    void on_superseded(std::function<void()> action);

    /// Send a heartbeat to every peer now, e.g. when this entry daemon starts to drain.
    void send_heartbeats();

    [[nodiscard]] const std::map<std::string, peer_state, std::less<>>& peers() const;

    /// @return the names of the live entry daemons in this one's zone that are neither leaving nor
    /// draining, including its own
    [[nodiscard]] std::vector<std::string> live_in_zone() const;

private:
    using raw_handler = std::function<void(const std::string& from, std::string_view body)>;

    void check_peers();
    void check_peer(peer_state& peer, monotonic_time now);
    void mark_silent(peer_state& peer);
    void send_probe_requests(const peer_state& silent);
    void drop_idle_incoming(monotonic_time now);
    void request_vm_list_from_seeds();
    [[nodiscard]] heartbeat make_heartbeat();
    [[nodiscard]] std::string make_frame(std::string_view type, const std::string& body) const;
    void send_packed(std::string_view peer, std::string_view type, const std::string& body);
    void reply_packed(std::string_view peer, std::string_view type, const std::string& body);
    void connect_to(peer_state& peer);
    void close_outgoing(std::string_view peer);
    void accept(std::unique_ptr<frame_connection> connection);
    void receive(std::string_view frame, frame_connection* incoming_connection);
    [[nodiscard]] bool is_current(const peer_envelope& envelope);
    void send_ack(const std::string& from, frame_connection& by);
    void apply_heartbeat(const std::string& from, const heartbeat& message);
    void apply_ack(const heartbeat_ack& message);

    event_loop& loop;
    const entry_settings& settings;
    counters& metrics;
    const event_log& log;
    std::uint64_t incarnation;
    monotonic_time started;
    std::function<void(heartbeat&)> fill_heartbeat;
    std::function<void(const peer_state&)> liveness_changed;
    std::function<void()> superseded;
    std::vector<handler<heartbeat>> heartbeat_handlers;
    std::unique_ptr<frame_listener> listener;
    std::map<std::string, peer_state, std::less<>> peer_states;
    std::map<std::string, std::unique_ptr<frame_connection>, std::less<>> outgoing;
    std::map<frame_connection*, std::unique_ptr<frame_connection>> incoming;
    std::vector<std::unique_ptr<frame_connection>> closed_connections;
    std::map<std::string, raw_handler, std::less<>> handlers;
    std::map<std::string, std::unique_ptr<frame_connection>, std::less<>> seeds;
    frame_connection* reply_connection = nullptr; ///< set while its message is handled
    bool draining = false;
    timer heartbeat_timer;
    timer check_timer;
};

} // namespace verbenalever
