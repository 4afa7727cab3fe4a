#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace standins {

/// Fault that the proxy injects into all connections that match.
struct fault_rule {
    std::string from; ///< prefix of the client's address, e.g. "127.9.1."; "" matches all
    std::string link; ///< prefix of the link's name; "" matches all

    /// "cut": open connections are closed, new ones are reset; "blackhole": connections stay open
    /// and no bytes are forwarded; "freeze": connections open when the rule is set never forward
    /// bytes again, new ones work; "delay": each chunk is forwarded after delay_ms
    std::string mode;
    std::int64_t delay_ms = 0;

    [[nodiscard]] bool matches(std::string_view client, std::string_view link_name) const
    {
        return client.starts_with(this->from) && link_name.starts_with(this->link);
    }
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(fault_rule, from, link, mode, delay_ms)

} // namespace standins
