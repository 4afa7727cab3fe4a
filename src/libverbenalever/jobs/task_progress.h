#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace verbenalever {

/// What a driver knows of one task beside what it keeps; a new driver starts without it.
struct task_progress {
    /// What one entry said when it did not hold the target.
    struct not_held_answer {
        monotonic_time heard;
        std::int64_t idle_ms = 0;
    };

    std::string holder;         ///< entry that holds the target, when known
    bool confirmed = false;     ///< seen running since the last start
    bool recorded = false;      ///< the end of its last start is kept
    monotonic_time last_heard;  ///< of this task, from a holder
    monotonic_time asked;       ///< when it was last asked about
    monotonic_time stop_asked;  ///< when its holder was last told to stop it
    monotonic_time retry_after; ///< earliest next start
    std::map<std::string, not_held_answer> not_held;
};

} // namespace verbenalever
