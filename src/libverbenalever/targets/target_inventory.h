#pragma once

#include "targets/target_task.h"

#include <vector>

namespace verbenalever {

/// What a target says that it holds.
struct target_inventory {
    std::vector<target_task> tasks; ///< running, and finished but not yet forgotten
    std::int64_t requests = 0;      ///< requests in flight
};

} // namespace verbenalever
