#pragma once

#include "coordination/peer_message.h"
#include "loop/clock.h"
#include "loop/timer.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace verbenalever {

class event_loop;
class frame_connection;

/// Calls, replies and notifications over one connection between two processes, with heartbeats.
///
/// A connection on which nothing was received for silence_limit is closed, since a device on the
/// path may have dropped it without notice. Calls that are open then fail with UNAVAILABLE; whether
/// the peer has carried them out is unknown.
class peer_channel {
public:
    using replier = std::function<void(std::string)>;
    using reply_callback = std::function<void(absl::StatusOr<std::string>)>;
    /// Handles a call, or a notification (then the replier is empty).
    using handler = std::function<void(peer_topic, std::string_view, replier)>;

    /// A third of the silence limit, so that a heartbeat may be lost.
    static constexpr milliseconds heartbeat_interval{350};
    /// Time without a message after which the connection counts as dead; below the coordinator's
    /// lease.
    static constexpr milliseconds silence_limit{1050};

    /// @param closed called once when the connection has closed; may destroy the channel
    peer_channel(event_loop& loop, std::unique_ptr<frame_connection> connection, handler on_message,
                 std::function<void()> closed);
    ~peer_channel();
    peer_channel(const peer_channel&) = delete;
    peer_channel& operator=(const peer_channel&) = delete;

    /// Send a call to the peer.
    /// @param done called exactly once, with the reply, DEADLINE_EXCEEDED, or UNAVAILABLE when the
    /// channel has closed
    void call(peer_topic topic, std::string payload, milliseconds timeout, reply_callback done);

    /// Send the peer a message that needs no reply.
    void send_notification(peer_topic topic, std::string payload);

    /// Set the function that makes the payload of each heartbeat.
    void set_heartbeat(std::function<std::string()> payload)
    {
        this->heartbeat_payload = std::move(payload);
    }

    /// Send a heartbeat now, because this process's state has changed.
    void send_heartbeat();

    /// @return whether anything was ever received from the peer
    [[nodiscard]] bool has_received() const
    {
        return this->peer_heard;
    }

    /// @return time since boot at which the newest heartbeat was sent that the peer has answered.
    /// Unlike the time at which a message is read, it does not depend on how long the answer waited
    /// to be read. milliseconds::min(): none was answered, or the peer's build does not answer them
    [[nodiscard]] milliseconds answered_at() const
    {
        return this->newest_answered;
    }

    /// @return whether the peer, its host or an error closed the connection, rather than this
    /// object because nothing was received for silence_limit
    [[nodiscard]] bool closed_by_peer() const
    {
        return this->peer_closed;
    }

    /// @return bytes queued that the kernel has not accepted yet
    [[nodiscard]] std::size_t unsent() const;

private:
    struct open_call {
        monotonic_time deadline;
        reply_callback done;
    };

    void send(const peer_message& message);
    void receive(std::string_view frame);
    void send_reply(std::uint64_t call, int topic, std::string payload);
    void on_heartbeat_timer();
    void expire_calls();
    void close_channel();

    std::unique_ptr<frame_connection> connection;
    handler on_message;
    std::function<void()> closed;
    std::function<std::string()> heartbeat_payload;
    timer heartbeat_timer;
    timer call_timer;
    monotonic_time last_heartbeat_tick;
    /// Set after a stall of this process, in which it could not receive.
    monotonic_time silence_ignored_until;
    milliseconds newest_answered = milliseconds::min(); ///< see answered_at()
    std::int64_t peer_sent_ms = 0;                      ///< greatest peer_message::sent_ms received
    std::uint64_t last_call = 0;
    std::map<std::uint64_t, open_call> calls;
    bool peer_heard = false;
    bool peer_closed = false;
    bool ended = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
