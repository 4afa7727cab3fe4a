#pragma once

#include "jobs/task_place.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Tells a holder to start tasks on the room that it reserved, once their places are kept.
struct start_request {
    static constexpr const char* type = "start_request";

    std::string job;
    std::string command; ///< JSON that targets understand
    std::vector<task_place> tasks;

    MSGPACK_DEFINE_MAP(job, command, tasks)
};

} // namespace verbenalever
