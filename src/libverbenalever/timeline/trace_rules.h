#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace verbenalever {

/// Parameters of the trace checker that are not part of the events.
struct trace_rules {
    /// Work may still start for this long after its target is marked as leaving or its availability
    /// zone is taken out; the users require "a few seconds".
    milliseconds grace{5000};

    /// Maximum number of slots that each team may use at once.
    std::map<std::string, std::int64_t> slot_limits;
};

} // namespace verbenalever
