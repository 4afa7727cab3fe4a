#pragma once

#include "jobs/task_place.h"

#include <string>

namespace verbenalever {

/// Capacity that an entry has reserved on one of its targets for one start of a task.
struct task_reservation {
    task_place place;
    std::string holder; ///< the entry that holds the target's lease
};

} // namespace verbenalever
