#pragma once

#include <functional>
#include <memory>

struct ev_signal;

namespace verbenalever {

class event_loop;

/// Runs a callback on the event loop when the process receives a signal.
class signal_watcher {
public:
    signal_watcher(event_loop& loop, int signal_number, std::function<void()> action);
    ~signal_watcher();
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;

private:
    event_loop& loop;
    std::function<void()> action;
    std::unique_ptr<ev_signal> watcher;
};

} // namespace verbenalever
