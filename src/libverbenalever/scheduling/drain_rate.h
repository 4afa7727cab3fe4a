#pragma once

#include "loop/clock.h"

#include <cstddef>
#include <optional>

namespace verbenalever {

/// Estimates how fast a queue drains and how long newly queued work would wait.
///
/// Only time during which work waits is counted: an empty queue gives no information about how
/// fast it could drain. Reads no clock: the caller passes the time, which must not decrease.
class drain_rate {
public:
    /// @param time_constant of the exponential average over the time in which work waits
    explicit drain_rate(milliseconds time_constant = milliseconds(5000));

    /// Record that work was added to the queue or removed without a start (cancelled, expired).
    /// @param length the queue's length after the change
    void length_changed(std::size_t length, monotonic_time now);

    /// Record that one piece of work was removed from the queue and started.
    /// @param length the queue's length after the change
    void work_started(std::size_t length, monotonic_time now);

    /// @return starts per second of the time in which work waits; nothing until that time is long
    ///         enough for an estimate
    [[nodiscard]] std::optional<double> per_second(monotonic_time now) const;

    /// @param ahead number of pieces of work that start earlier
    /// @return the time until the work behind them starts; nothing while the rate is unknown
    [[nodiscard]] std::optional<milliseconds> estimated_wait(std::size_t ahead,
                                                             monotonic_time now) const;

    /// @return how long a refused caller should wait before it retries: the estimated wait behind
    ///         @p ahead pieces of work, between a minimum and a maximum
    [[nodiscard]] milliseconds retry_after(std::size_t ahead, monotonic_time now) const;

private:
    /// Exponentially decayed sums at one point in time.
    struct decayed_sums {
        double starts = 0;
        double backlogged_seconds = 0;
    };

    [[nodiscard]] decayed_sums sums_at(monotonic_time now) const;
    void advance(std::size_t length, monotonic_time now);

    double time_constant_seconds;
    decayed_sums sums;
    monotonic_time last_change;
    bool backlogged = false;
};

} // namespace verbenalever
