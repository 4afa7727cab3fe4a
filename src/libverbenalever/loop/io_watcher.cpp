#include "loop/io_watcher.h"

#include "loop/event_loop.h"

#include <ev.h>

namespace verbenalever {

io_watcher::io_watcher(event_loop& loop, int descriptor, callback action)
    : loop(loop), action(std::move(action)), watcher(std::make_unique<ev_io>())
{
    ev_io_init(
        this->watcher.get(),
        [](struct ev_loop*, ev_io* watcher, int events) {
            auto* self = static_cast<io_watcher*>(watcher->data);
            self->action((events & EV_READ) != 0, (events & EV_WRITE) != 0);
        },
        descriptor, 0);
    this->watcher->data = this;
}

io_watcher::~io_watcher()
{
    ev_io_stop(this->loop.native(), this->watcher.get());
}

void io_watcher::watch(bool readable, bool writable)
{
    const int events = (readable ? EV_READ : 0) | (writable ? EV_WRITE : 0);
    if (events == (this->watcher->events & (EV_READ | EV_WRITE)))
        return;
    ev_io_stop(this->loop.native(), this->watcher.get());
    ev_io_set(this->watcher.get(), this->watcher->fd, events);
    if (events != 0)
        ev_io_start(this->loop.native(), this->watcher.get());
}

} // namespace verbenalever
