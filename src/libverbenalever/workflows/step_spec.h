#pragma once

#include "scheduling/resources.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// One step of a workflow: a number of identical tasks.
struct step_spec {
    std::uint32_t count = 1;          ///< of tasks
    resources need;                   ///< of each task
    std::int64_t estimated_ms = 0;    ///< expected duration of a task
    std::vector<std::uint32_t> after; ///< numbers of the steps that must be done first
    bool gang = false;                ///< all tasks run at the same time and end together
    bool same_rack = false;           ///< slower when its tasks are on several racks
    bool checkpointing = false;       ///< a task can resume from the checkpoint of its last run
    bool allow_duplicates = false;    ///< copies of a task may run at the same time
    bool long_running = false;        ///< runs until the workflow is cancelled
    bool fills = false;         ///< its tasks use idle capacity only, which does not count as used
    std::string data_rack;      ///< rack that has its data, where its tasks run faster; empty: none
    std::string required_label; ///< runs only on targets with this label; empty: on all
    std::uint32_t max_per_target = 0;   ///< tasks on one target; 0: no limit
    std::string image;                  ///< tasks of the same image behave alike
    std::int64_t latency_target_ms = 0; ///< latency objective of a service; 0: none
    std::uint32_t may_miss = 0;         ///< tasks of a service that may be stopped at the same time

    MSGPACK_DEFINE(count, need, estimated_ms, after, gang, same_rack, checkpointing,
                   allow_duplicates, long_running, fills, data_rack, required_label, max_per_target,
                   image, latency_target_ms, may_miss)
};

} // namespace verbenalever
