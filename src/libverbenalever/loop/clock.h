#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace verbenalever {

/// Monotonic clock for deadlines and timeouts, and for the leases that an entry daemon itself holds
/// at its targets (folder targets). Its times are comparable within one machine.
using monotonic_clock = std::chrono::steady_clock;
using monotonic_time = monotonic_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// @return time since the machine booted, including the time that it was suspended. Used for the
/// coordinator's lease in the store, for the task leases that it grants, and wherever a suspension
/// must count: the monotonic clock does not advance during a suspension.
[[nodiscard]] inline milliseconds boot_time()
{
    std::timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return milliseconds(std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000);
}

/// @return microseconds on the monotonic clock, for ordering the events of the event log.
[[nodiscard]] inline std::int64_t monotonic_microseconds()
{
    return std::chrono::duration_cast<microseconds>(monotonic_clock::now().time_since_epoch())
        .count();
}

/// @return microseconds since the Unix epoch, for human readers of the event log.
[[nodiscard]] inline std::int64_t wall_microseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<microseconds>(now).count();
}

/// @return whole milliseconds in @p span, rounded towards zero.
template <typename Duration>
[[nodiscard]] std::int64_t to_milliseconds(Duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace verbenalever
