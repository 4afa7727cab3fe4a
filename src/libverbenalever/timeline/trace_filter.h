#pragma once

#include "timeline/trace_event.h"

#include <span>
#include <string>
#include <vector>

namespace verbenalever {

/// Selects events by their fields; an empty member matches every event.
struct trace_filter {
    std::string job;
    std::string task;
    std::string request;
    std::string target;
    std::string team;

    /// @return whether the event matches all members
    [[nodiscard]] bool matches(const trace_event& event) const;

    [[nodiscard]] std::vector<trace_event> select(std::span<const trace_event> events) const;
};

} // namespace verbenalever
