#include "loop/signal_watcher.h"

#include "loop/event_loop.h"

#include <ev.h>

namespace verbenalever {

signal_watcher::signal_watcher(event_loop& loop, int signal_number, std::function<void()> action)
    : loop(loop), action(std::move(action)), watcher(std::make_unique<ev_signal>())
{
    ev_signal_init(
        this->watcher.get(),
        [](struct ev_loop*, ev_signal* watcher, int) {
            static_cast<signal_watcher*>(watcher->data)->action();
        },
        signal_number);
    this->watcher->data = this;
    ev_signal_start(this->loop.native(), this->watcher.get());
}

signal_watcher::~signal_watcher()
{
    ev_signal_stop(this->loop.native(), this->watcher.get());
}

} // namespace verbenalever
