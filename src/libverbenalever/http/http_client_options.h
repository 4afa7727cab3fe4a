#pragma once

#include <chrono>
#include <string>

namespace verbenalever {

/// How an HTTP client makes and keeps connections.
struct http_client_options {
    std::string local_address; ///< IPv4 address that connections come from; any when empty
    /// How long a kept connection may have been idle and still be used again.
    std::chrono::seconds idle_limit{3};
    long connections_per_host = 0; ///< further calls wait for one of them; 0: no limit
};

} // namespace verbenalever
