#pragma once

#include "loop/clock.h"
#include "loop/timer.h"

namespace verbenalever {

class event_loop;

/// Measures how late the event loop runs its timers. Late timers are the earliest sign that the
/// process does not get enough processor time.
class lag_meter {
public:
    explicit lag_meter(event_loop& loop);

    /// @return the smaller delay of the last two timer ticks. A single late tick is ignored,
    ///         since a suspension of the process delays just one.
    [[nodiscard]] milliseconds lag() const;

private:
    void tick();

    timer tick_timer;
    monotonic_time due_at;
    milliseconds last_lag{0};
    milliseconds previous_lag{0};
};

} // namespace verbenalever
