#pragma once

#include "jobs/task_place.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Asks the entry that holds the targets to stop tasks there, or to have ended tasks forgotten
/// whose ends are stored.
struct task_order {
    static constexpr const char* type = "task_order";

    std::string job;
    std::string action; ///< "stop" or "forget"
    std::vector<task_place> tasks;

    MSGPACK_DEFINE_MAP(job, action, tasks)
};

} // namespace verbenalever
