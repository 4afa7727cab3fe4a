#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// Parameters of a call that starts a task on a target.
struct task_start {
    std::string task;    ///< unique over all jobs
    std::string attempt; ///< unique over all starts of the task
    std::string team;
    resources demand;
    milliseconds lease{30000};
    std::string command; ///< JSON, interpreted by the target only
};

} // namespace verbenalever
