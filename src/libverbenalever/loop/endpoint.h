#pragma once

#include <absl/status/statusor.h>
#include <netinet/in.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenalever {

/// An IPv4 address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    /// Parse "ADDRESS:PORT"; names are not resolved.
    /// @return INVALID_ARGUMENT when the text is not an IPv4 address with a port
    [[nodiscard]] static absl::StatusOr<endpoint> parse(std::string_view text);

    /// @return "ADDRESS:PORT"
    [[nodiscard]] std::string text() const;

    /// @return the address in the form that bind() and connect() use.
    [[nodiscard]] sockaddr_in socket_address() const;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

} // namespace verbenalever
