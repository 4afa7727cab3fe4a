#include "loop/pause_detector.h"

#include "loop/event_loop.h"

namespace verbenalever {

namespace {

/// Often enough to tell a pause from a tick that is merely late.
constexpr milliseconds tick_interval{200};

} // namespace

pause_detector::pause_detector(event_loop& loop)
    : ticks(loop, [this] { this->tick(); }), last_tick(boot_time())
{
    this->ticks.start_repeating(tick_interval);
}

bool pause_detector::paused_lately() const
{
    const auto now = boot_time();
    return now < this->distrusted_until || now - this->last_tick > longest_turn;
}

void pause_detector::tick()
{
    const auto now = boot_time();
    if (now - this->last_tick > longest_turn)
        this->distrusted_until = now + pause_memory;
    this->last_tick = now;
}

} // namespace verbenalever
