#pragma once

#include "loop/clock.h"
#include "targets/target_task.h"

#include <cstdint>
#include <map>
#include <string>

namespace verbenalever {

/// What the entry daemon that holds a target's lease knows about the tasks on that target.
struct observed_target {
    /// One task of the target.
    struct observed_task {
        target_task inventory_entry;    ///< as the target's inventory last showed it
        monotonic_time start_seen_at;   ///< when this entry daemon first knew that it was started
        monotonic_time end_reported_at; ///< when its end was last reported to the driver
        /// When its end was first found in the inventory, or, if later, when the job's record was
        /// last read to check whether the job has finished.
        monotonic_time unacknowledged_since;
        bool store_check_pending = false; ///< whether the job's record is being read
        bool capacity_reserved = false;   ///< whether it has a reservation in the registry
    };

    std::int64_t epoch = 0;       ///< of the lease under which the tasks were read
    bool inventory_known = false; ///< whether the inventory was read under this epoch
    bool poll_in_flight = false;
    monotonic_time last_poll;
    monotonic_time last_renewal; ///< when the task leases were last renewed
    monotonic_time last_start;
    std::map<std::string, observed_task> tasks;
};

} // namespace verbenalever
