#pragma once

#include "loop/clock.h"

#include <cstddef>
#include <optional>

namespace verbenalever {

/// Estimates how fast a queue drains, and from that how long new work would wait.
///
/// Only time during which work waits counts: an idle queue says nothing about its capacity.
/// Pure: the caller passes the time, which must not go back.
class drain_rate {
public:
    /// @param memory time constant of the exponential average, counted over backlogged time
    explicit drain_rate(milliseconds time_constant = milliseconds(5000));

    /// Work was added to the queue or taken out unserved (cancelled, expired).
    /// @param length the queue's length after that
    void length_changed(std::size_t length, monotonic_time now);

    /// One piece of work left the queue and was started.
    /// @param length the queue's length after that
    void work_started(std::size_t length, monotonic_time now);

    /// @return starts a second while work waits; nothing before there was enough backlogged time
    [[nodiscard]] std::optional<double> per_second(monotonic_time now) const;

    /// @param ahead pieces of work that go before
    /// @return the time until the next one after them starts; nothing while it is unknown
    [[nodiscard]] std::optional<milliseconds> estimated_wait(std::size_t ahead,
                                                             monotonic_time now) const;

    /// How long a refused caller should stay away: the time to drain @p ahead, within bounds that
    /// keep callers from coming back at once or never.
    [[nodiscard]] milliseconds retry_after(std::size_t ahead, monotonic_time now) const;

private:
    /// Decayed sums up to a point in time.
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
