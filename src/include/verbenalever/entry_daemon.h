#pragma once

#include "verbenalever/entry_settings.h"

#include <absl/status/status.h>

#include <memory>

namespace verbenalever {

/// One entry daemon: every slice wired together on one loop.
class entry_daemon {
public:
    explicit entry_daemon(entry_settings settings);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// Serve until a planned stop (SIGTERM or SIGINT) has finished.
    /// @return OK after a graceful stop; UNAVAILABLE when an address cannot be bound
    [[nodiscard]] absl::Status run();

private:
    class implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace verbenalever
