#pragma once

#include "jobs/task_place.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Asks an entry daemon for the status of tasks. The entry daemon records the sender as the job's
/// driver.
struct task_query {
    static constexpr const char* type = "task_query";

    std::string job;
    std::vector<task_place> tasks;

    MSGPACK_DEFINE_MAP(job, tasks)
};

} // namespace verbenalever
