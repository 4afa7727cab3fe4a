#pragma once

#include "jobs/task_key.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// The status of one start of a task, as known to one entry daemon.
struct task_status {
    task_key key;
    std::string target;

    /// running, succeeded, failed, stopped, lapsed: as in the target's inventory;
    /// refused: it was certainly not started and will not be;
    /// absent: it is not on the target and will not start there, but may have run there before;
    /// starting: reserved, or its start has no known outcome yet;
    /// not_held: this entry daemon does not hold the target's lease, or has not read its inventory
    /// under the present lease
    std::string state;
    std::string result;
    std::int64_t progress_ms = 0;

    /// For not_held: time for which this entry daemon has certainly sent the target no start or
    /// renewal.
    std::int64_t idle_ms = 0;

    MSGPACK_DEFINE_MAP(key, target, state, result, progress_ms, idle_ms)
};

} // namespace verbenalever
