#pragma once

#include "timeline/trace_event.h"

#include <span>
#include <string>
#include <vector>

namespace verbenalever {

/// Which events of a time line are wanted; an empty member wants all.
struct trace_filter {
    std::string job;
    std::string task;
    std::string request;
    std::string target;
    std::string team;

    /// @return whether the event meets every member that is not empty
    [[nodiscard]] bool matches(const trace_event& event) const;

    [[nodiscard]] std::vector<trace_event> select(std::span<const trace_event> events) const;
};

} // namespace verbenalever
