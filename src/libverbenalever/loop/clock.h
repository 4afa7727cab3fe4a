#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace verbenalever {

/// Clock for leases, deadlines and timeouts: never steps, comparable inside one machine.
using monotonic_clock = std::chrono::steady_clock;
using monotonic_time = monotonic_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// @return time since the machine started, also counting time that it was suspended. Leases that
/// others grant or count on are judged by it: the monotonic clock stands still in a suspension.
[[nodiscard]] inline milliseconds boot_time()
{
    std::timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return milliseconds(std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000);
}

/// @return microseconds on the monotonic clock, for the time line.
[[nodiscard]] inline std::int64_t monotonic_microseconds()
{
    return std::chrono::duration_cast<microseconds>(monotonic_clock::now().time_since_epoch())
        .count();
}

/// @return microseconds since the Unix epoch, for people reading the time line.
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
