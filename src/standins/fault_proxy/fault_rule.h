#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace standins {

/// What the proxy does to the connections that one rule matches.
struct fault_rule {
    std::string from; ///< prefix of the client's address, e.g. "127.9.1."; "" matches all
    std::string link; ///< prefix of the link's name; "" matches all

    /// cut: closed and refused; blackhole: open, nothing passes; freeze: connections that are open
    /// now stay silent for good while new ones pass; delay: each chunk waits delay_ms
    std::string mode;
    std::int64_t delay_ms = 0;

    [[nodiscard]] bool matches(std::string_view client, std::string_view link_name) const
    {
        return client.starts_with(this->from) && link_name.starts_with(this->link);
    }
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(fault_rule, from, link, mode, delay_ms)

} // namespace standins
