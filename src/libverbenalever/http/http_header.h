#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace verbenalever {

/// One HTTP header line.
struct http_header {
    std::string name;
    std::string value;
};

/// @return the value of the first header with this name; names are case-insensitive
[[nodiscard]] std::optional<std::string_view> find_header(std::span<const http_header> headers,
                                                          std::string_view name);

} // namespace verbenalever
