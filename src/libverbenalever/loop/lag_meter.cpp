#include "loop/lag_meter.h"

#include "loop/event_loop.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Time between two measurements: a few a second cost next to nothing.
constexpr milliseconds tick_interval{200};

} // namespace

lag_meter::lag_meter(event_loop& loop)
    : ticks(loop, [this] { this->tick(); }), due(monotonic_clock::now() + tick_interval)
{
    this->ticks.start_once(tick_interval);
}

milliseconds lag_meter::lag() const
{
    return std::min(this->last, this->before_last);
}

void lag_meter::tick()
{
    const auto now = monotonic_clock::now();
    this->before_last = this->last;
    this->last = std::chrono::duration_cast<milliseconds>(now - this->due);
    this->due = now + tick_interval;
    this->ticks.start_once(tick_interval);
}

} // namespace verbenalever
