#include "loop/timer.h"

#include "loop/event_loop.h"

#include <ev.h>

namespace verbenalever {

namespace {

double to_seconds(microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

timer::timer(event_loop& loop, callback action)
    : loop(loop), action(std::move(action)), watcher(std::make_unique<ev_timer>())
{
    ev_init(this->watcher.get(), [](struct ev_loop*, ev_timer* watcher, int) {
        static_cast<timer*>(watcher->data)->action();
    });
    this->watcher->data = this;
}

timer::~timer()
{
    this->stop();
}

void timer::start_once(microseconds delay)
{
    this->stop();
    ev_now_update(this->loop.native());
    ev_timer_set(this->watcher.get(), to_seconds(delay), 0.);
    ev_timer_start(this->loop.native(), this->watcher.get());
}

void timer::start_repeating(microseconds interval)
{
    this->stop();
    ev_now_update(this->loop.native());
    ev_timer_set(this->watcher.get(), to_seconds(interval), to_seconds(interval));
    ev_timer_start(this->loop.native(), this->watcher.get());
}

void timer::stop()
{
    ev_timer_stop(this->loop.native(), this->watcher.get());
}

bool timer::active() const
{
    return ev_is_active(this->watcher.get());
}

} // namespace verbenalever
