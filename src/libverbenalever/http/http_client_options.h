#pragma once

#include <chrono>
#include <string>

namespace verbenalever {

/// Connection settings of an HTTP client.
struct http_client_options {
    std::string local_address; ///< IPv4 address that connections are made from; empty: any
    /// A connection that was idle for longer than this is not reused.
    std::chrono::seconds idle_limit{3};
    long connections_per_host = 0; ///< calls beyond it are queued; 0: no limit
};

} // namespace verbenalever
