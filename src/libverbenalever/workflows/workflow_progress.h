#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// What is known for good of one task.
struct task_progress {
    bool done = false;
    /// Numbers of the runs that ended as failed. Their ends may be listed again, in any order, so
    /// that a count alone would not do.
    std::vector<std::int64_t> failed_runs;
    std::string checkpoint;

    MSGPACK_DEFINE(done, failed_runs, checkpoint)
};

/// What is known for good of a workflow that has not ended: its tasks, step by step.
struct workflow_progress {
    std::vector<std::vector<task_progress>> steps;

    MSGPACK_DEFINE(steps)
};

} // namespace verbenalever
