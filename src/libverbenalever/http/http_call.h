#pragma once

#include "http/http_header.h"
#include "loop/clock.h"

#include <string>
#include <vector>

namespace verbenalever {

/// One request to be sent by the HTTP client.
struct http_call {
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    milliseconds timeout{5000};
    bool fresh_connection = false; ///< open a new connection, do not reuse one
};

} // namespace verbenalever
