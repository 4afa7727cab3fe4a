#pragma once

#include "scheduling/resources.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// One step of a workflow: tasks that are alike.
struct step_spec {
    std::uint32_t count = 1;
    resources need; ///< of each task
    std::int64_t estimated_ms = 0;
    std::vector<std::uint32_t> after;   ///< steps all of whose tasks must be done first
    bool gang = false;                  ///< tasks work only together and end together
    bool same_rack = false;             ///< slower when spread over racks
    bool checkpointing = false;         ///< its progress can be carried to the next run
    bool allow_duplicates = false;      ///< copies of a task may run at the same time
    bool long_running = false;          ///< runs until the workflow is cancelled
    bool fills = false;                 ///< uses what others leave; not counted against capacity
    std::string data_rack;              ///< rack on which it is faster
    std::string required_label;         ///< only targets with this label
    std::uint32_t max_per_target = 0;   ///< 0: no limit
    std::string image;                  ///< tasks of one image behave alike
    std::int64_t latency_target_ms = 0; ///< a service's own objective; 0: none
    std::uint32_t may_miss = 0; ///< tasks of a service that the system may take away at once

    MSGPACK_DEFINE(count, need, estimated_ms, after, gang, same_rack, checkpointing,
                   allow_duplicates, long_running, fills, data_rack, required_label, max_per_target,
                   image, latency_target_ms, may_miss)
};

} // namespace verbenalever
