#pragma once

#include "jobs/task_key.h"
#include "scheduling/resources.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// Asks a holder of targets for room for some tasks. What is granted lapses unless it is started.
struct reserve_request {
    static constexpr const char* type = "reserve_request";

    std::uint64_t number = 0; ///< the driver's own, echoed in the answer
    std::string job;
    std::string queue; ///< decides how a target is chosen
    std::string team;
    resources demand; ///< of each task
    std::vector<task_key> tasks;

    MSGPACK_DEFINE_MAP(number, job, queue, team, demand, tasks)
};

} // namespace verbenalever
