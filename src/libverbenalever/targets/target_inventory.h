#pragma once

#include "targets/target_request.h"
#include "targets/target_task.h"

#include <vector>

namespace verbenalever {

/// The work that a target reports as present on it.
struct target_inventory {
    std::vector<target_task> tasks;       ///< running, or finished with the result not yet deleted
    std::vector<target_request> requests; ///< in flight
};

} // namespace verbenalever
