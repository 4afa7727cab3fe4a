#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace verbenalever {

/// What a job's driver knows about one task and does not store; it is lost when another driver
/// adopts the job.
struct task_live_state {
    /// A "not_held" answer: the entry daemon does not hold the target's lease.
    struct not_held_answer {
        monotonic_time received_at;
        std::int64_t idle_ms = 0;
    };

    std::string holder;             ///< entry daemon that holds the target's lease, or empty
    bool running_confirmed = false; ///< reported as running since the last start
    bool end_stored = false;        ///< the end of its last start is stored
    monotonic_time last_status_at;  ///< time of the last status from a holder
    monotonic_time queried_at;      ///< when its status was last queried
    monotonic_time stop_sent_at;    ///< when a stop was last sent
    monotonic_time earliest_start;  ///< earliest next start
    std::map<std::string, not_held_answer> not_held_answers;
};

} // namespace verbenalever
