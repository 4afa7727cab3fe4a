#pragma once

#include "loop/clock.h"
#include "requests/response_time_estimator.h"
#include "scheduling/drain_rate.h"

#include <cstddef>

namespace verbenalever {

/// How long one queue is and how fast it drains. Pure: time comes in as an argument.
///
/// Only departures while something waits count: with an empty queue the rate is that of arrivals
/// and says nothing about capacity.
class queue_load {
public:
    queue_load();

    void request_queued(monotonic_time now);
    void request_dequeued(monotonic_time now, bool started);

    [[nodiscard]] std::size_t length() const;

    /// @return how long a request that joined now would wait; zero while nothing is known
    [[nodiscard]] microseconds estimated_wait() const;

    /// @return when a refused caller may come back
    [[nodiscard]] milliseconds retry_after() const;

    /// Response times of this queue's requests at targets.
    response_time_estimator response_time;

private:
    std::size_t queued = 0;
    monotonic_time last_change;
    drain_rate departures;
};

} // namespace verbenalever
