#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <string>

namespace verbenalever {

/// One piece of work that waits for a place.
struct queued_work {
    std::uint64_t id = 0;
    std::string queue;
    std::string team;
    int priority = 0; ///< lower goes first under a strict policy
    monotonic_time arrival;
    monotonic_time deadline;
    resources demand;
};

} // namespace verbenalever
