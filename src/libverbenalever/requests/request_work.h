#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// A request as it is sent to a target, whether it came from a caller or from a peer.
struct request_work {
    std::string id; ///< unique over all processes; the same for all attempts
    std::string queue;
    std::string team;
    bool repeatable = false;
    std::string body;
    resources demand;
    monotonic_time deadline;
};

} // namespace verbenalever
