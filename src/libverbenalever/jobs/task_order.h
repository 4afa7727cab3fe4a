#pragma once

#include "jobs/task_place.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Asks the entry daemon that holds the targets to stop tasks there, or to tell the targets that
/// they may forget ended tasks whose ends are stored.
struct task_order {
    static constexpr const char* type = "task_order";

    std::string job;
    std::string action; ///< "stop" or "forget"
    std::vector<task_place> tasks;

    MSGPACK_DEFINE_MAP(job, action, tasks)
};

} // namespace verbenalever
