#include "loop/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace verbenalever {

absl::StatusOr<endpoint> endpoint::parse(std::string_view text)
{
    const auto malformed = [text] {
        return absl::InvalidArgumentError(
            fmt::format("'{}' is not an IPv4 address and port such as 127.0.0.1:8000", text));
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed();
    endpoint result{.address = std::string(text.substr(0, colon)), .port = 0};
    const auto digits = text.substr(colon + 1);
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
    if (error != std::errc() || end != digits.data() + digits.size() || digits.empty())
        return malformed();
    // inet_pton() would accept an address that is followed by a zero byte.
    if (result.address.find('\0') != std::string::npos)
        return malformed();
    if (in_addr parsed{}; inet_pton(AF_INET, result.address.c_str(), &parsed) != 1)
        return malformed();
    return result;
}

std::string endpoint::text() const
{
    return fmt::format("{}:{}", this->address, this->port);
}

sockaddr_in endpoint::socket_address() const
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(this->port);
    inet_pton(AF_INET, this->address.c_str(), &result.sin_addr);
    return result;
}

} // namespace verbenalever
