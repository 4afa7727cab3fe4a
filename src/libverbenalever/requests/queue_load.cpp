#include "requests/queue_load.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Time constant with which older departures are forgotten.
constexpr milliseconds rate_memory{2000};
constexpr milliseconds shortest_retry_after{100};
constexpr milliseconds longest_retry_after{30'000};

} // namespace

queue_load::queue_load() : rate(rate_memory) {}

void queue_load::joined(monotonic_time now)
{
    this->last = now;
    ++this->length;
    this->rate.length_changed(this->length, now);
}

void queue_load::left(monotonic_time now, bool started)
{
    this->last = now;
    --this->length;
    if (started)
        this->rate.work_started(this->length, now);
    else
        this->rate.length_changed(this->length, now);
}

std::size_t queue_load::waiting() const
{
    return this->length;
}

microseconds queue_load::estimated_wait() const
{
    if (this->length == 0)
        return microseconds(0);
    return this->rate.estimated_wait(this->length - 1, this->last).value_or(milliseconds(0));
}

milliseconds queue_load::retry_after() const
{
    const auto wait = std::chrono::ceil<milliseconds>(this->estimated_wait());
    return std::clamp(wait, shortest_retry_after, longest_retry_after);
}

} // namespace verbenalever
