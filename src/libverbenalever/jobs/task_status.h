#pragma once

#include "jobs/task_key.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// What an entry knows of one start of a task.
struct task_status {
    task_key key;
    std::string target;

    /// running, succeeded, failed, stopped, lapsed: as the target says;
    /// refused: it was surely not started and will not be;
    /// absent: the target does not have it and will not start it; it may have had it before;
    /// starting: not yet known; not_held: this entry does not hold the target's lease
    std::string state;
    std::string result;
    std::int64_t progress_ms = 0;

    /// For not_held: time for which this entry has surely not renewed the task's lease.
    std::int64_t idle_ms = 0;

    MSGPACK_DEFINE_MAP(key, target, state, result, progress_ms, idle_ms)
};

} // namespace verbenalever
