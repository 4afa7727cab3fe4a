#pragma once

#include "loop/clock.h"

#include <string>

namespace verbenalever {

/// Configuration of a queue to which callers submit workflows.
struct queue_definition {
    std::string name;
    std::string host; ///< callers address the queue by host and path prefix
    std::string prefix;
    std::string pool;   ///< name of the group of targets that run its tasks
    int priority = 0;   ///< 0 is the highest
    int attempts = 1;   ///< a task fails after this many failed runs
    bool open = false;  ///< callers need no access key
    double stretch = 1; ///< latency objective: this factor times the longest chain of steps ...
    milliseconds latency_objective{0}; ///< ... plus this
    milliseconds timeout{0}; ///< callers stop waiting for the reply to a call after this time

    bool needs_advice = false;   ///< the advisor must be asked which targets may run its steps
    double advice_base_ms = 0;   ///< fixed part of the duration of one advisor call
    double advice_target_ms = 0; ///< additional duration for each target in the call
};

} // namespace verbenalever
