#pragma once

#include "loop/clock.h"

#include <string>

namespace verbenalever {

/// A queue that callers hand workflows to.
struct queue_definition {
    std::string name;
    std::string host; ///< callers address the queue by host and path prefix
    std::string prefix;
    std::string pool;                  ///< targets that run its tasks
    int priority = 0;                  ///< 0 goes first
    int attempts = 1;                  ///< runs of one task that may fail
    bool open = false;                 ///< needs no key
    double stretch = 1;                ///< objective: this many times the longest chain of work ...
    milliseconds latency_objective{0}; ///< ... and this much more
    milliseconds timeout{0};           ///< callers give up on one call after this

    bool needs_advice = false;   ///< only the advisor knows which targets may run its steps
    double advice_base_ms = 0;   ///< time of one call for advice
    double advice_target_ms = 0; ///< and for each target named in it
};

} // namespace verbenalever
