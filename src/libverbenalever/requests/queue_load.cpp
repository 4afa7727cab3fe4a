#include "requests/queue_load.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Time constant of the exponential decay of older departures.
constexpr milliseconds rate_time_constant{2000};
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{30'000};

} // namespace

queue_load::queue_load() : departures(rate_time_constant) {}

void queue_load::request_queued(monotonic_time now)
{
    this->last_change = now;
    ++this->queued;
    this->departures.length_changed(this->queued, now);
}

void queue_load::request_dequeued(monotonic_time now, bool started)
{
    this->last_change = now;
    --this->queued;
    if (started)
        this->departures.work_started(this->queued, now);
    else
        this->departures.length_changed(this->queued, now);
}

std::size_t queue_load::length() const
{
    return this->queued;
}

microseconds queue_load::estimated_wait() const
{
    if (this->queued == 0)
        return microseconds(0);
    return this->departures.estimated_wait(this->queued - 1, this->last_change)
        .value_or(milliseconds(0));
}

milliseconds queue_load::retry_after() const
{
    const auto wait = std::chrono::ceil<milliseconds>(this->estimated_wait());
    return std::clamp(wait, min_retry_after, max_retry_after);
}

} // namespace verbenalever
