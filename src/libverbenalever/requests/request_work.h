#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// What a target needs to run one request, wherever it was received.
struct request_work {
    std::string id; ///< unique over all processes; the same at every target that gets it
    std::string queue;
    std::string team;
    bool repeatable = false;
    std::string body;
    resources demand;
    monotonic_time deadline;
};

} // namespace verbenalever
