#pragma once

#include <functional>
#include <memory>

struct ev_io;

namespace verbenalever {

class event_loop;

/// Watches one file descriptor. Destroying it stops the watch; the descriptor stays open.
class io_watcher {
public:
    /// Called with whether the descriptor is readable and writable.
    using callback = std::function<void(bool readable, bool writable)>;

    io_watcher(event_loop& loop, int descriptor, callback action);
    ~io_watcher();
    io_watcher(const io_watcher&) = delete;
    io_watcher& operator=(const io_watcher&) = delete;

    /// Choose the events of interest; neither stops the watch.
    void watch(bool readable, bool writable);

private:
    event_loop& loop;
    callback action;
    std::unique_ptr<ev_io> watcher;
};

} // namespace verbenalever
