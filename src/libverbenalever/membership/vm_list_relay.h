#pragma once

#include "loop/clock.h"
#include "membership/vm_list_copy.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace verbenalever {

class counters;
class event_log;
class peer_mesh;
struct heartbeat;

/// Exchanges the platform's VM list between entry daemons, so that one that cannot reach the
/// platform uses the newest list that any of its peers has read.
///
/// Each heartbeat carries the read time and the digest of the sender's list. The list itself is
/// requested only by an entry daemon that has no answer from the platform for stale_after and
/// whose own list is older and different, or by one that has no peers yet.
class vm_list_relay {
public:
    using handler = std::function<void(std::string_view text)>;

    /// @param stale_after time since its last answer after which the platform counts as silent
    /// @param on_changed  called with each list that differs from the previous one
    vm_list_relay(peer_mesh& mesh, counters& metrics, const event_log& log,
                  milliseconds stale_after, handler on_changed);

    /// Set the list that the platform has sent.
    /// @param read_at_us wall clock just before it was requested
    void apply_platform_list(std::string_view text, std::int64_t read_at_us);

    /// Record that the platform has confirmed that the last list it sent is unchanged.
    void confirm_unchanged(std::int64_t read_at_us);

    /// Set the read time and digest of this entry daemon's list in its next heartbeat.
    void fill_heartbeat(heartbeat& message) const;

private:
    void on_heartbeat(const std::string& from, const heartbeat& message);
    void apply_copy(const std::string& from, const vm_list_copy& copy);
    void set_current_list(std::string_view text, std::int64_t read_at_us);
    [[nodiscard]] bool platform_silent() const;

    peer_mesh& mesh;
    counters& metrics;
    const event_log& log;
    milliseconds stale_after;
    handler on_changed;
    vm_list_copy current;
    std::uint64_t digest = 0;
    monotonic_time last_platform_answer;
};

} // namespace verbenalever
