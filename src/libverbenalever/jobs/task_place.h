#pragma once

#include "jobs/task_key.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// One start of a task and the target that it is placed on.
struct task_place {
    task_key key;
    std::string target;
    std::int64_t resume_ms = 0; ///< progress of the checkpoint to resume from

    MSGPACK_DEFINE_MAP(key, target, resume_ms)
};

} // namespace verbenalever
