#pragma once

#include "loop/clock.h"
#include "loop/timer.h"

namespace verbenalever {

class event_loop;

/// Measures how late the loop gets round to its timers: a process that is given too little of a
/// processor falls behind before anything else shows it.
class lag_meter {
public:
    explicit lag_meter(event_loop& loop);

    /// @return how late the timers of the last second were; one late timer does not count, since a
    ///         suspension makes just one late
    [[nodiscard]] milliseconds lag() const;

private:
    void tick();

    timer tick_timer;
    monotonic_time due_at;
    milliseconds last_lag{0};
    milliseconds previous_lag{0};
};

} // namespace verbenalever
