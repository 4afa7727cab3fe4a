#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenalever {

/// One event that was read from the log of a process.
struct trace_event {
    std::int64_t mono_us = 0;
    std::string process;
    std::string slice;
    std::string event;
    nlohmann::json fields; ///< all fields of the line, including those above

    /// @return the text of a field; empty when it is absent or not text
    [[nodiscard]] std::string text(std::string_view name) const;

    /// @return the number in a field; zero when it is absent or not a number
    [[nodiscard]] std::int64_t number(std::string_view name) const;

    /// @return the flag in a field; false when it is absent or not a Boolean
    [[nodiscard]] bool flag(std::string_view name) const;
};

} // namespace verbenalever
