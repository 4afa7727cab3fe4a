#pragma once

#include "loop/clock.h"
#include "requests/response_time.h"
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

    void joined(monotonic_time now);
    void left(monotonic_time now, bool started);

    [[nodiscard]] std::size_t waiting() const;

    /// @return how long a request that joined now would wait; zero while nothing is known
    [[nodiscard]] microseconds estimated_wait() const;

    /// @return when a refused caller may come back
    [[nodiscard]] milliseconds retry_after() const;

    /// Response times of this queue's requests at targets.
    response_time service;

private:
    std::size_t length = 0;
    monotonic_time last;
    drain_rate rate;
};

} // namespace verbenalever
