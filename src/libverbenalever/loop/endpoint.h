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
    /// @return INVALID_ARGUMENT with a readable message when the text is neither
    [[nodiscard]] static absl::StatusOr<endpoint> parse(std::string_view text);

    /// @return "ADDRESS:PORT"
    [[nodiscard]] std::string text() const;

    /// @return the address as the socket calls take it.
    [[nodiscard]] sockaddr_in socket_address() const;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

} // namespace verbenalever
