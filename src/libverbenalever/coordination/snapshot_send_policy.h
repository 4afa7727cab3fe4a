#pragma once

#include "loop/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace verbenalever {

/// Which state of the operators' configuration a process has.
struct snapshot_state {
    std::int64_t revision = 0; ///< of the store when it was read
    std::int64_t digest = 0;   ///< of its content; equal where the content is
};

/// Decides when another process is sent the operators' configuration as it is known here.
///
/// Each process reads it from the store by itself. It is sent only to one that stays behind, once,
/// and not while earlier bytes to it are under way: a configuration of thousands of queues takes a
/// large part of a second on a slow link, and heartbeats and orders wait behind it.
class snapshot_send_policy {
public:
    /// Note a heartbeat of another process.
    /// @param unsent bytes on their way to it that the kernel has not taken yet
    /// @return whether to send it the configuration now
    [[nodiscard]] bool should_send(const std::string& peer, const snapshot_state& theirs,
                                   const snapshot_state& ours, std::size_t unsent,
                                   milliseconds now);

    void remove_peer(const std::string& peer)
    {
        this->lagging_peers.erase(peer);
    }

    /// Time for a process to read a change from the store by itself: two heartbeats, well inside
    /// the two seconds in which a change must be in force.
    static constexpr milliseconds catch_up_time{700};
    /// A copy that has not arrived after this long is sent again: a megabyte takes a second on the
    /// slowest links of the users' sheets.
    static constexpr milliseconds resend_wait{4000};
    /// With more than this under way to a process its link is busy.
    static constexpr std::size_t busy_bytes = 64 * 1024;

private:
    struct lagging_peer {
        milliseconds since{0}; ///< boot time
        milliseconds sent_at{0};
        std::int64_t sent_digest = 0;
    };

    std::map<std::string, lagging_peer> lagging_peers;
};

} // namespace verbenalever
