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

/// Spreads the platform's VM list over the entries, so that one that is cut off from the platform
/// goes by the newest list that any of its peers has read.
///
/// Heartbeats tell when each entry's list was read and what its digest is; the list itself goes
/// over only to an entry that reads nothing from the platform and has another one.
class vm_list_relay {
public:
    using handler = std::function<void(std::string_view text)>;

    /// @param stale_after the platform counts as silent this long after the last list from it
    /// @param changed     called with each list that differs from the one before
    vm_list_relay(peer_mesh& mesh, counters& metrics, const event_log& log,
                  milliseconds stale_after, handler on_changed);

    /// Take in a list that the platform sent.
    /// @param read_at_us wall clock before it was asked for
    void apply_platform_list(std::string_view text, std::int64_t read_at_us);

    /// Note that the platform says that the list last read still stands.
    void confirm_unchanged(std::int64_t read_at_us);

    /// Fill in what a heartbeat says about this entry's list.
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
