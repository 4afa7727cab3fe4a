#pragma once

#include "loop/clock.h"

#include <cstddef>

namespace verbenalever {

/// Limits that an HTTP server sets for its clients.
struct http_server_limits {
    std::size_t body_bytes = 1 << 20; ///< maximum size of a request body
    unsigned connections = 4096;      ///< maximum number of open connections
    std::chrono::seconds idle_timeout{120};
};

} // namespace verbenalever
