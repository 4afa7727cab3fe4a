#include "requests/queue_load.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// Time constant with which older departures are forgotten.
constexpr double memory_seconds = 2;
/// Less busy time than this says nothing about the rate.
constexpr double busy_seconds_needed = 0.1;
constexpr microseconds longest_wait{600'000'000};
constexpr milliseconds shortest_retry_after{100};
constexpr milliseconds longest_retry_after{30'000};

} // namespace

void queue_load::advance(monotonic_time now)
{
    const auto elapsed = std::chrono::duration<double>(now - this->last).count();
    this->last = now;
    if (this->length == 0)
        return;
    const auto kept = std::exp(-elapsed / memory_seconds);
    this->departures *= kept;
    this->busy_seconds = this->busy_seconds * kept + elapsed;
}

void queue_load::joined(monotonic_time now)
{
    this->advance(now);
    ++this->length;
}

void queue_load::left(monotonic_time now, bool started)
{
    this->advance(now);
    --this->length;
    if (started)
        ++this->departures;
}

std::size_t queue_load::waiting() const
{
    return this->length;
}

microseconds queue_load::estimated_wait() const
{
    if (this->length == 0 || this->busy_seconds < busy_seconds_needed)
        return microseconds(0);
    if (this->departures <= 0)
        return longest_wait;
    const auto seconds = static_cast<double>(this->length) * this->busy_seconds / this->departures;
    return std::min(longest_wait, microseconds(static_cast<std::int64_t>(seconds * 1e6)));
}

milliseconds queue_load::retry_after() const
{
    const auto wait = std::chrono::ceil<milliseconds>(this->estimated_wait());
    return std::clamp(wait, shortest_retry_after, longest_retry_after);
}

} // namespace verbenalever
