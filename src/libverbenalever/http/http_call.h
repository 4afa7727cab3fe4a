#pragma once

#include "http/http_header.h"
#include "loop/clock.h"

#include <string>
#include <vector>

namespace verbenalever {

/// One request for the HTTP client to make.
struct http_call {
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    milliseconds timeout{5000};
    bool fresh_connection = false; ///< open a new connection in place of using a kept one
};

} // namespace verbenalever
