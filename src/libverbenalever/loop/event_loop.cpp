#include "loop/event_loop.h"

#include <ev.h>

#include <csignal>

namespace verbenalever {

event_loop::event_loop()
    : handle(ev_loop_new(static_cast<unsigned>(EVBACKEND_EPOLL) | EVFLAG_NOENV))
{
    // A write to a closed connection shall fail with EPIPE instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop()
{
    ev_loop_destroy(this->handle);
}

void event_loop::run()
{
    ev_run(this->handle, 0);
}

void event_loop::stop()
{
    ev_break(this->handle, EVBREAK_ALL);
}

struct ev_loop* event_loop::native() const
{
    return this->handle;
}

} // namespace verbenalever
