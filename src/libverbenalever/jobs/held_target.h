#pragma once

#include "loop/clock.h"
#include "targets/target_task.h"

#include <cstdint>
#include <map>
#include <string>

namespace verbenalever {

/// What the holder of a target knows of the tasks there.
struct held_target {
    /// One task, as the target's inventory showed it last.
    struct known_task {
        target_task seen;
        monotonic_time since;         ///< when this entry learnt of the start
        monotonic_time reported;      ///< when its end was told last
        monotonic_time ended;         ///< when its end was seen first
        bool recording_asked = false; ///< whether the store was asked if its end is recorded
        bool counted = false;         ///< whether the registry counts its room
    };

    std::int64_t epoch = 0; ///< of the lease under which this was learnt
    bool known = false;     ///< whether an inventory was read under this epoch
    bool reading = false;
    monotonic_time last_read;
    monotonic_time last_renewal; ///< of the task leases
    monotonic_time last_start;
    std::map<std::string, known_task> tasks;
};

} // namespace verbenalever
