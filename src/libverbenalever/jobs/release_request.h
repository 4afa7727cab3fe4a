#pragma once

#include "jobs/task_key.h"

#include <msgpack.hpp>

#include <vector>

namespace verbenalever {

/// Releases reserved capacity that will not be used.
struct release_request {
    static constexpr const char* type = "release_request";

    std::vector<task_key> tasks;

    MSGPACK_DEFINE_MAP(tasks)
};

} // namespace verbenalever
