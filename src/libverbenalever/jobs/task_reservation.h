#pragma once

#include "jobs/task_place.h"

#include <string>

namespace verbenalever {

/// Room that a holder reserved for one task.
struct task_reservation {
    task_place place;
    std::string holder; ///< the entry that reserved it
};

} // namespace verbenalever
