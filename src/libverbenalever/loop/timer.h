#pragma once

#include "loop/clock.h"

#include <functional>
#include <memory>

struct ev_timer;

namespace verbenalever {

class event_loop;

/// A timer on the event loop, one-shot or repeating. Destroying it cancels it.
class timer {
public:
    using callback = std::function<void()>;

    /// @param loop   the loop that runs the callback; must outlive the timer
    /// @param action called each time the timer fires; may restart or stop it
    timer(event_loop& loop, callback action);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Fire once after @p delay, replacing any earlier schedule.
    void start_once(microseconds delay);

    /// Fire every @p interval, first after one interval.
    void start_repeating(microseconds interval);

    void stop();

    [[nodiscard]] bool active() const;

private:
    event_loop& loop;
    callback action;
    std::unique_ptr<ev_timer> watcher;
};

} // namespace verbenalever
