#pragma once

#include <chrono>
#include <cstdint>

namespace verbenalever {

/// Clock for leases, deadlines and timeouts: never steps, comparable inside one machine.
using monotonic_clock = std::chrono::steady_clock;
using monotonic_time = monotonic_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

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
