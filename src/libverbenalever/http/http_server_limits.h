#pragma once

#include "http/body_budget_limits.h"
#include "loop/clock.h"

#include <cstddef>
#include <string>

namespace verbenalever {

/// Limits that an HTTP server sets for its clients.
struct http_server_limits {
    std::size_t body_bytes = 1 << 20; ///< maximum size of a request body
    unsigned connections = 4096;      ///< maximum number of open connections
    std::chrono::seconds idle_timeout{120};
    /// Buffer of one connection: bounds the headers of a request, and memory without a body.
    std::size_t connection_buffer_bytes = 32U << 10U;
    body_budget_limits bodies; ///< memory and time limits of request bodies
    /// Free the body as soon as the handler has returned. Only for handlers that do not refer to
    /// the request afterwards.
    bool frees_handled_bodies = false;
    /// JSON body of a refusal (503) for lack of memory.
    std::string refusal_body = R"({"outcome":"not_run","code":"no_memory",)"
                               R"("message":"too many request bodies","retry_after_ms":1000})";
};

} // namespace verbenalever
