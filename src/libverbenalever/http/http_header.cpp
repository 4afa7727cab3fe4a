#include "http/http_header.h"

#include <strings.h>

namespace verbenalever {

std::optional<std::string_view> find_header(std::span<const http_header> headers,
                                            std::string_view name)
{
    for (const auto& header : headers) {
        if (header.name.size() == name.size() &&
            strncasecmp(header.name.data(), name.data(), name.size()) == 0)
            return header.value;
    }
    return std::nullopt;
}

} // namespace verbenalever
