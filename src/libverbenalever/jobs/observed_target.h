#pragma once

#include "loop/clock.h"
#include "targets/target_task.h"

#include <cstdint>
#include <map>
#include <string>

namespace verbenalever {

/// What the holder of a target knows of the tasks there.
struct observed_target {
    /// One task, as the target's inventory showed it last.
    struct observed_task {
        target_task inventory_entry;
        monotonic_time start_seen_at;        ///< when this entry learnt of the start
        monotonic_time end_reported_at;      ///< when its end was told last
        monotonic_time unacknowledged_since; ///< when its end was seen first
        bool store_check_pending = false;    ///< whether the store was asked if its end is recorded
        bool capacity_reserved = false;      ///< whether the registry counts its room
    };

    std::int64_t epoch = 0;       ///< of the lease under which this was learnt
    bool inventory_known = false; ///< whether an inventory was read under this epoch
    bool poll_in_flight = false;
    monotonic_time last_poll;
    monotonic_time last_renewal; ///< of the task leases
    monotonic_time last_start;
    std::map<std::string, observed_task> tasks;
};

} // namespace verbenalever
