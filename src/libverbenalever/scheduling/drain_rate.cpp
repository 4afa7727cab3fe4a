#include "scheduling/drain_rate.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// Less backlogged time than this gives no estimate.
constexpr double least_evidence_seconds = 0.05;
/// A rate below this counts as standing still.
constexpr double least_rate_per_second = 1e-3;
constexpr double longest_wait_seconds = 3600;
constexpr milliseconds shortest_retry_after{100};
constexpr milliseconds longest_retry_after{60'000};
constexpr milliseconds unknown_retry_after{500};
constexpr double milliseconds_per_second = 1000;

} // namespace

drain_rate::drain_rate(milliseconds memory)
    : memory_seconds(std::chrono::duration<double>(memory).count())
{
}

void drain_rate::changed(std::size_t waiting, monotonic_time now)
{
    this->advance(waiting, now);
}

void drain_rate::started(std::size_t waiting, monotonic_time now)
{
    const bool had_waited = this->backlogged;
    this->advance(waiting, now);
    if (had_waited)
        this->seen.starts += 1;
}

drain_rate::evidence drain_rate::at(monotonic_time now) const
{
    if (!this->backlogged || now <= this->last_change)
        return this->seen;
    const double passed = std::chrono::duration<double>(now - this->last_change).count();
    const double kept = std::exp(-passed / this->memory_seconds);
    return {.starts = this->seen.starts * kept,
            .backlogged_seconds =
                this->seen.backlogged_seconds * kept + this->memory_seconds * (1 - kept)};
}

void drain_rate::advance(std::size_t waiting, monotonic_time now)
{
    this->seen = this->at(now);
    this->last_change = now;
    this->backlogged = waiting > 0;
}

std::optional<double> drain_rate::per_second(monotonic_time now) const
{
    const auto sums = this->at(now);
    if (sums.backlogged_seconds < least_evidence_seconds)
        return std::nullopt;
    return sums.starts / sums.backlogged_seconds;
}

std::optional<milliseconds> drain_rate::estimated_wait(std::size_t ahead, monotonic_time now) const
{
    const auto rate = this->per_second(now);
    if (!rate)
        return std::nullopt;
    const double seconds = static_cast<double>(ahead + 1) / std::max(*rate, least_rate_per_second);
    return milliseconds(static_cast<std::int64_t>(std::min(seconds, longest_wait_seconds) *
                                                  milliseconds_per_second));
}

milliseconds drain_rate::retry_after(std::size_t ahead, monotonic_time now) const
{
    const auto wait = this->estimated_wait(ahead, now);
    if (!wait)
        return unknown_retry_after;
    return std::clamp(*wait, shortest_retry_after, longest_retry_after);
}

} // namespace verbenalever
