#pragma once

#include "loop/clock.h"

#include <cstddef>

namespace verbenalever {

/// What one HTTP server allows its clients.
struct http_server_limits {
    std::size_t body_bytes = 1 << 20;
    unsigned connections = 4096;
    std::chrono::seconds idle_timeout{120};
};

} // namespace verbenalever
