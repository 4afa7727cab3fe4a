#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace verbenalever {

/// What a driver knows of one task beside what it keeps; a new driver starts without it.
struct task_live_state {
    /// What one entry said when it did not hold the target.
    struct not_held_answer {
        monotonic_time received_at;
        std::int64_t idle_ms = 0;
    };

    std::string holder;             ///< entry that holds the target, when known
    bool running_confirmed = false; ///< seen running since the last start
    bool end_stored = false;        ///< the end of its last start is kept
    monotonic_time last_status_at;  ///< of this task, from a holder
    monotonic_time queried_at;      ///< when it was last asked about
    monotonic_time stop_sent_at;    ///< when its holder was last told to stop it
    monotonic_time earliest_start;  ///< earliest next start
    std::map<std::string, not_held_answer> not_held_answers;
};

} // namespace verbenalever
