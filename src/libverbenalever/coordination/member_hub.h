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
        std::function<void(const member_greeting&)> joined;
        std::function<void(const std::string& vm)> left;
        std::function<void(const member_greeting&)> heartbeat;
        std::function<void(peer_topic, std::string_view, peer_channel::replier)> on_message;
        std::function<std::string()> greeting; ///< payload of each heartbeat
    };

    member_hub(event_loop& loop, callbacks notify);
    ~member_hub();
    member_hub(const member_hub&) = delete;
    member_hub& operator=(const member_hub&) = delete;

    /// @return UNAVAILABLE when the address cannot be bound
    [[nodiscard]] absl::Status listen(const endpoint& address);

    /// @return the channel to @p vm; null when it is not connected
    [[nodiscard]] peer_channel* find(const std::string& vm);

    /// Remove VMs that disconnected before @p when (boot time) from the disconnected ones.
    void forget_disconnected(milliseconds when);

    /// @return whether at least one member is connected and no VM is disconnected, other than those
    /// removed by forget_disconnected()
    [[nodiscard]] bool all_members_connected() const;

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
    std::map<std::string, milliseconds> disconnected; ///< boot time of each disconnect
    std::vector<std::unique_ptr<peer_channel>> closed_channels;
    timer cleanup_timer;
    std::uint64_t last_number = 0;
};

} // namespace verbenalever
