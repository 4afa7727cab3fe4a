#pragma once

#include <functional>
#include <memory>

struct ev_io;

namespace verbenalever {

class event_loop;

/// Calls back when a file descriptor is ready. The destructor does not close the descriptor.
class io_watcher {
public:
    /// Called when the descriptor is ready, with whether it is readable and whether writable.
    using callback = std::function<void(bool readable, bool writable)>;

    io_watcher(event_loop& loop, int descriptor, callback action);
    ~io_watcher();
    io_watcher(const io_watcher&) = delete;
    io_watcher& operator=(const io_watcher&) = delete;

    /// Set the events to watch for; with both false, stop watching.
    void watch(bool readable, bool writable);

private:
    event_loop& loop;
    callback action;
    std::unique_ptr<ev_io> watcher;
};

} // namespace verbenalever
