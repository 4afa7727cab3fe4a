#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// What is known for good of one task.
struct task_progress {
    bool done = false;
    std::uint32_t failures = 0;  ///< runs that ended as failed
    std::int64_t failed_run = 0; ///< the last of them, so that its end counts once
    std::string checkpoint;

    MSGPACK_DEFINE(done, failures, failed_run, checkpoint)
};

/// What is known for good of a workflow that has not ended: its tasks, step by step.
struct workflow_progress {
    std::vector<std::vector<task_progress>> steps;

    MSGPACK_DEFINE(steps)
};

} // namespace verbenalever
