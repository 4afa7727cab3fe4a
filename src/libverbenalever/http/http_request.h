#pragma once

#include "http/http_header.h"

#include <map>
#include <string>
#include <vector>

namespace verbenalever {

/// A complete request, as received by the server.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    std::vector<http_header> headers;
    std::string body;
    std::string source; ///< IP address of the client

    /// @return the value of the header; empty when it is absent
    [[nodiscard]] std::string_view header(std::string_view name) const
    {
        return find_header(this->headers, name).value_or(std::string_view());
    }
};

} // namespace verbenalever
