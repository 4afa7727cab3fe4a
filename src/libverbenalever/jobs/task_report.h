#pragma once

#include "jobs/task_status.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Tells a job's driver about its tasks. Safe to receive twice, late or not at all.
struct task_report {
    static constexpr const char* type = "task_report";

    std::string job;
    std::vector<task_status> tasks;

    MSGPACK_DEFINE_MAP(job, tasks)
};

} // namespace verbenalever
