#pragma once

#include "http/http_header.h"

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// The result of one HTTP call.
struct http_result {
    /// OK when a complete response was received; otherwise the reason why not.
    absl::Status transport;

    /// Whether any byte of the request may have left this process. When false, the server cannot
    /// have executed the request.
    bool may_have_been_sent = false;

    /// Size of the request and the response, including their headers.
    std::int64_t bytes = 0;

    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    /// @return whether a complete response with a 2xx status was received
    [[nodiscard]] bool success() const
    {
        return this->transport.ok() && this->status >= 200 && this->status < 300;
    }

    /// @return the value of the header; empty when it is absent
    [[nodiscard]] std::string_view header(std::string_view name) const
    {
        return find_header(this->headers, name).value_or(std::string_view());
    }
};

} // namespace verbenalever
