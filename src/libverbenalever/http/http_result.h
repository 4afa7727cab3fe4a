#pragma once

#include "http/http_header.h"

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// How one HTTP call ended.
struct http_result {
    /// OK when a whole response came; otherwise why none did.
    absl::Status transport;

    /// Whether any byte of the request may have left this process. While false, the receiver
    /// cannot have acted on it.
    bool may_have_been_sent = false;

    /// Bytes of the request and the response, with their headers.
    std::int64_t bytes = 0;

    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    /// @return whether a whole response with a 2xx status came
    [[nodiscard]] bool success() const
    {
        return this->transport.ok() && this->status >= 200 && this->status < 300;
    }

    /// @return the header's value, empty when it is absent
    [[nodiscard]] std::string_view header(std::string_view name) const
    {
        return find_header(this->headers, name).value_or(std::string_view());
    }
};

} // namespace verbenalever
