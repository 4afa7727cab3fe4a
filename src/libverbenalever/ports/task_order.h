#pragma once

#include "loop/clock.h"
#include "loop/endpoint.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace verbenalever {

/// One life of a target: an order meant for it does nothing in a later life.
struct target_life {
    std::string name;
    std::int64_t born_ms = 0;
    endpoint address;
    std::string availability_zone;
};

/// Names one task of a workflow.
struct task_name {
    std::string workflow;
    std::int64_t occurrence = 0; ///< of a recurring workflow; else 0
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_name&, const task_name&) = default;
    friend bool operator<(const task_name& left, const task_name& right)
    {
        return std::tie(left.workflow, left.occurrence, left.step, left.index) <
               std::tie(right.workflow, right.occurrence, right.step, right.index);
    }
};

/// Asks a target to start one run of a task.
struct start_order {
    task_name task;
    std::int64_t run = 0; ///< grows with each start of the task
    std::string payload;  ///< what the caller handed in
    std::string checkpoint;
    std::string ticket; ///< from the advisor; empty where none is needed
};

/// The authority under which orders are given, and until when what runs may go on.
struct order_authority {
    std::int64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0; ///< on the target's own clock; 0: leave as it is
};

} // namespace verbenalever
