#pragma once

#include "loop/clock.h"
#include "requests/response_time_estimator.h"
#include "scheduling/drain_rate.h"

#include <cstddef>

namespace verbenalever {

/// Length of one queue and the rate at which it drains. Reads no clock: time is passed as an
/// argument.
///
/// Only departures while further requests wait are counted: once the queue is empty, the rate of
/// departures is that of the arrivals and does not measure capacity.
class queue_load {
public:
    queue_load();

    void request_queued(monotonic_time now);
    /// @param started whether the request was sent; otherwise it was finished without an attempt
    void request_dequeued(monotonic_time now, bool started);

    [[nodiscard]] std::size_t length() const;

    /// @return how long a request that is queued now would wait; zero while the rate is unknown
    [[nodiscard]] microseconds estimated_wait() const;

    /// @return after what time a refused caller may send its request again
    [[nodiscard]] milliseconds retry_after() const;

    /// Response times of this queue's requests once they are sent.
    response_time_estimator response_time;

private:
    std::size_t queued = 0;
    monotonic_time last_change;
    drain_rate departures;
};

} // namespace verbenalever
