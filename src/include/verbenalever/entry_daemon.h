#pragma once

#include "verbenalever/entry_settings.h"

#include <absl/status/status.h>

#include <memory>

namespace verbenalever {

/// One entry daemon: creates all its services on one event loop and runs them.
class entry_daemon {
public:
    explicit entry_daemon(entry_settings settings);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// Serve until the daemon has drained after SIGTERM, SIGINT or an operator's drain request, or
    /// because its VM leaves or a newer process replaces it.
    /// @return OK after a graceful stop; UNAVAILABLE when an address cannot be bound
    [[nodiscard]] absl::Status run();

private:
    class implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace verbenalever
