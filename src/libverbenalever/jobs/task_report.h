#pragma once

#include "jobs/task_status.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Reports the status of tasks to their job's driver. It may arrive twice, late or never.
struct task_report {
    static constexpr const char* type = "task_report";

    std::string job;
    std::vector<task_status> tasks;

    MSGPACK_DEFINE_MAP(job, tasks)
};

} // namespace verbenalever
