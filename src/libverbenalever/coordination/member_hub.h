#pragma once

#include "coordination/peer_channel.h"
#include "wire/frame_listener.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {

class event_loop;
struct endpoint;
struct member_greeting;

/// The connections that other processes (members) open to this one while it is coordinator.
class member_hub {
public:
    struct callbacks {
        /// Called with the first greeting of a VM on a new connection.
        std::function<void(const member_greeting&)> joined;
        /// Called when the connection to a member has closed.
        std::function<void(const std::string& vm)> left;
        /// Called with the greeting in each heartbeat of a member.
        std::function<void(const member_greeting&)> heartbeat;
        /// Called with any other call or notification of a member, see peer_channel::handler.
        std::function<void(peer_topic, std::string_view, peer_channel::replier)> on_message;
        /// @return this process's greeting, the payload of each heartbeat that is sent to members
        std::function<std::string()> greeting;
    };

    member_hub(event_loop& loop, callbacks notify);
    ~member_hub();
    member_hub(const member_hub&) = delete;
    member_hub& operator=(const member_hub&) = delete;

    /// @return UNAVAILABLE when the address cannot be bound
    [[nodiscard]] absl::Status listen(const endpoint& address);

    /// @return the port on which this process listens; 0 before listen()
    [[nodiscard]] std::uint16_t port() const;

    /// @return the channel to @p vm; null when it is not connected
    [[nodiscard]] peer_channel* find(const std::string& vm);

    /// Stop counting VMs that disconnected before @p when (time since boot) as disconnected.
    void forget_disconnected(milliseconds when);

    /// @return whether at least one member is connected, each has answered a heartbeat that was
    /// sent to it within @p span, and no VM is disconnected, other than those removed by
    /// forget_disconnected()
    [[nodiscard]] bool all_members_answered_within(milliseconds span) const;

    [[nodiscard]] std::size_t size() const
    {
        return this->members.size();
    }

    /// Call @p visit for each connected member.
    void for_each_member(const std::function<void(const std::string& vm, peer_channel&)>& visit);

private:
    struct connection {
        std::unique_ptr<peer_channel> channel;
        std::string vm; ///< empty until its first greeting
    };

    void accept(std::unique_ptr<frame_connection> new_connection);
    void on_message(std::uint64_t number, peer_topic topic, std::string_view payload,
                    peer_channel::replier reply);
    void close(std::uint64_t number);

    event_loop& loop;
    callbacks notify;
    std::unique_ptr<frame_listener> listener;
    std::map<std::uint64_t, connection> connections;
    std::map<std::string, std::uint64_t> members;     ///< number of the connection of each VM
    std::map<std::string, milliseconds> disconnected; ///< time since boot of each disconnect
    std::vector<std::unique_ptr<peer_channel>> closed_channels;
    timer cleanup_timer;
    std::uint64_t last_number = 0;
};

} // namespace verbenalever
