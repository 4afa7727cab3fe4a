#pragma once

#include "loop/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace verbenalever {

/// Identifies the snapshot of the operators' configuration that a process has.
struct snapshot_state {
    std::int64_t revision = 0; ///< store revision at which it was read
    std::int64_t digest = 0;   ///< of its content; equal for equal content
};

/// Decides when this process sends its snapshot of the operators' configuration to another one.
///
/// Each process reads the configuration from the store by itself. A snapshot is sent once (again
/// only after resend_wait), and only to a process whose configuration stays older, and not while
/// much other data for it is unsent: a configuration of thousands of queues takes a large part of a
/// second on a slow link, and delays heartbeats and orders on the same connection.
class snapshot_send_policy {
public:
    /// Handle a heartbeat of another process.
    /// @param unsent bytes queued for it that the kernel has not accepted yet
    /// @return whether to send it the snapshot now
    [[nodiscard]] bool should_send(const std::string& peer, const snapshot_state& theirs,
                                   const snapshot_state& ours, std::size_t unsent,
                                   milliseconds now);

    void remove_peer(const std::string& peer)
    {
        this->lagging_peers.erase(peer);
    }

    /// How long a process may lag behind before it is sent a snapshot: two heartbeats, in which it
    /// can read the change from the store by itself, and well within the two seconds in which a
    /// change must be in force.
    static constexpr milliseconds catch_up_time{700};
    /// The same snapshot is resent to a process that still lags after this long: a megabyte takes a
    /// second on the slowest links that the users specify.
    static constexpr milliseconds resend_wait{4000};
    /// Nothing is sent to a process with more unsent bytes than this.
    static constexpr std::size_t busy_bytes = 64 * 1024;

private:
    struct lagging_peer {
        milliseconds since{0}; ///< time since boot of the first heartbeat that showed the lag
        milliseconds sent_at{0};
        std::int64_t sent_digest = 0;
    };

    std::map<std::string, lagging_peer> lagging_peers;
};

} // namespace verbenalever
