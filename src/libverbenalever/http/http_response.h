#pragma once

#include "http/http_header.h"

#include <string>
#include <vector>

namespace verbenalever {

/// A complete response to be sent by the server.
struct http_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;

    /// @return a response with a JSON body
    [[nodiscard]] static http_response json(int status, std::string body)
    {
        return {.status = status,
                .headers = {{"Content-Type", "application/json"}},
                .body = std::move(body)};
    }
};

} // namespace verbenalever
