#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace verbenalever {

/// What the trace checker holds a run to, beyond what the events themselves say.
struct trace_rules {
    /// Starts are allowed for this long after a target is marked leaving or its availability zone
    /// is taken out: the brief's "few seconds".
    milliseconds grace{5000};

    /// The most slots that each team may have running at once.
    std::map<std::string, std::int64_t> slot_limits;
};

} // namespace verbenalever
