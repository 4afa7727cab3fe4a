#include "scheduling/drain_rate.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// With less backlogged time than this there is no estimate.
constexpr double min_backlogged_seconds = 0.05;
/// Lower rates are raised to this one when a wait is computed, which avoids a division by zero.
constexpr double min_rate_per_second = 1e-3;
constexpr double max_wait_seconds = 3600;
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{60'000};
/// While the rate is unknown.
constexpr milliseconds default_retry_after{500};
constexpr double milliseconds_per_second = 1000;

} // namespace

drain_rate::drain_rate(milliseconds time_constant)
    : time_constant_seconds(std::chrono::duration<double>(time_constant).count())
{
}

void drain_rate::length_changed(std::size_t length, monotonic_time now)
{
    this->advance(length, now);
}

void drain_rate::work_started(std::size_t length, monotonic_time now)
{
    const bool was_backlogged = this->backlogged;
    this->advance(length, now);
    if (was_backlogged)
        this->sums.starts += 1;
}

drain_rate::decayed_sums drain_rate::sums_at(monotonic_time now) const
{
    if (!this->backlogged || now <= this->last_change)
        return this->sums;
    const double elapsed = std::chrono::duration<double>(now - this->last_change).count();
    const double decay = std::exp(-elapsed / this->time_constant_seconds);
    return {.starts = this->sums.starts * decay,
            .backlogged_seconds =
                this->sums.backlogged_seconds * decay + this->time_constant_seconds * (1 - decay)};
}

void drain_rate::advance(std::size_t length, monotonic_time now)
{
    this->sums = this->sums_at(now);
    this->last_change = now;
    this->backlogged = length > 0;
}

std::optional<double> drain_rate::per_second(monotonic_time now) const
{
    const auto current = this->sums_at(now);
    if (current.backlogged_seconds < min_backlogged_seconds)
        return std::nullopt;
    return current.starts / current.backlogged_seconds;
}

std::optional<milliseconds> drain_rate::estimated_wait(std::size_t ahead, monotonic_time now) const
{
    const auto rate = this->per_second(now);
    if (!rate)
        return std::nullopt;
    const double seconds = static_cast<double>(ahead + 1) / std::max(*rate, min_rate_per_second);
    return milliseconds(
        static_cast<std::int64_t>(std::min(seconds, max_wait_seconds) * milliseconds_per_second));
}

milliseconds drain_rate::retry_after(std::size_t ahead, monotonic_time now) const
{
    const auto wait = this->estimated_wait(ahead, now);
    if (!wait)
        return default_retry_after;
    return std::clamp(*wait, min_retry_after, max_retry_after);
}

} // namespace verbenalever
