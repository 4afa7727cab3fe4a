#pragma once

#include "targets/target_request.h"
#include "targets/target_task.h"

#include <vector>

namespace verbenalever {

/// What a target says that it holds.
struct target_inventory {
    std::vector<target_task> tasks;       ///< running, and finished but not yet forgotten
    std::vector<target_request> requests; ///< in flight
};

} // namespace verbenalever
