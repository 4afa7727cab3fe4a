#include "loop/lag_meter.h"

#include "loop/event_loop.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Time between two measurements; five a second have a negligible cost.
constexpr milliseconds tick_interval{200};

} // namespace

lag_meter::lag_meter(event_loop& loop)
    : tick_timer(loop, [this] { this->tick(); }), due_at(monotonic_clock::now() + tick_interval)
{
    this->tick_timer.start_once(tick_interval);
}

milliseconds lag_meter::lag() const
{
    return std::min(this->last_lag, this->previous_lag);
}

void lag_meter::tick()
{
    const auto now = monotonic_clock::now();
    this->previous_lag = this->last_lag;
    this->last_lag = std::chrono::duration_cast<milliseconds>(now - this->due_at);
    this->due_at = now + tick_interval;
    this->tick_timer.start_once(tick_interval);
}

} // namespace verbenalever
