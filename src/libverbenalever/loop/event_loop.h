#pragma once

#include "loop/clock.h"

struct ev_loop;

namespace verbenalever {

/// The libev loop of a process. Objects that use it may be used on its thread only.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Dispatch events until stop() is called.
    void run();

    /// Make run() return after the current callback.
    void stop();

    /// @return the libev handle that watchers attach to.
    [[nodiscard]] struct ev_loop* native() const;

private:
    struct ev_loop* handle;
};

} // namespace verbenalever
