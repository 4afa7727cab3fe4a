#pragma once

#include "jobs/task_key.h"
#include "scheduling/resources.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// Asks an entry daemon to reserve capacity for tasks on its targets. A reservation expires unless
/// its task is started.
struct reserve_request {
    static constexpr const char* type = "reserve_request";

    std::uint64_t number = 0; ///< chosen by the driver, returned in the answer
    std::string job;
    std::string queue; ///< its placement policy chooses the targets
    std::string team;
    resources demand; ///< of each task
    std::vector<task_key> tasks;

    MSGPACK_DEFINE_MAP(number, job, queue, team, demand, tasks)
};

} // namespace verbenalever
