#pragma once

#include "jobs/task_place.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Asks an entry daemon to start tasks in the capacity that it reserved. Sent once their placements
/// are stored.
struct start_request {
    static constexpr const char* type = "start_request";

    std::string job;
    std::string command; ///< JSON object that is passed to the target
    std::vector<task_place> tasks;

    MSGPACK_DEFINE_MAP(job, command, tasks)
};

} // namespace verbenalever
