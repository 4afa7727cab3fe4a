#pragma once

#include "jobs/task_place.h"

#include <string>

namespace verbenalever {

/// Capacity that an entry daemon has reserved for one start of a task, on a target whose lease it
/// holds.
struct task_reservation {
    task_place place;
    std::string holder; ///< the entry daemon that made the reservation and holds the target's lease
};

} // namespace verbenalever
