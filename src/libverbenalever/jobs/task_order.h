#pragma once

#include "jobs/task_place.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Tells the holder of targets to stop tasks, or to let the targets forget recorded ones.
struct task_order {
    static constexpr const char* type = "task_order";

    std::string job;
    std::string action; ///< stop or forget
    std::vector<task_place> tasks;

    MSGPACK_DEFINE_MAP(job, action, tasks)
};

} // namespace verbenalever
