#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <string>

namespace verbenalever {

/// One piece of work that waits to be started on a target, e.g. a request.
struct queued_work {
    std::uint64_t id = 0;
    std::string queue;
    std::string team;
    int priority = 0; ///< lower is more important
    monotonic_time arrival;
    monotonic_time deadline;
    resources demand;
};

} // namespace verbenalever
