#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenalever {

/// One event read back from a process's log.
struct trace_event {
    std::int64_t mono_us = 0;
    std::string process;
    std::string slice;
    std::string event;
    nlohmann::json fields; ///< everything in the line

    /// @return the text of a field, empty when it is absent
    [[nodiscard]] std::string text(std::string_view name) const;

    /// @return the number of a field, zero when it is absent
    [[nodiscard]] std::int64_t number(std::string_view name) const;

    /// @return the flag of a field, false when it is absent
    [[nodiscard]] bool flag(std::string_view name) const;
};

} // namespace verbenalever
