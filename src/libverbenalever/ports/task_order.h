#pragma once

#include "loop/clock.h"
#include "loop/endpoint.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace verbenalever {

/// One life of a target: the target process from its start until it ends or is restarted. An order
/// addressed to a life has no effect after a restart.
struct target_life {
    std::string name;
    std::int64_t born_ms = 0; ///< start of the target process
    endpoint address;
    std::string availability_zone;
};

/// Identifies one task of a workflow.
struct task_name {
    std::string workflow;
    std::int64_t occurrence = 0; ///< number of the occurrence of a recurring workflow; otherwise 0
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_name&, const task_name&) = default;
    friend bool operator<(const task_name& left, const task_name& right)
    {
        return std::tie(left.workflow, left.occurrence, left.step, left.index) <
               std::tie(right.workflow, right.occurrence, right.step, right.index);
    }
};

/// Orders a target to start one run of a task.
struct start_order {
    task_name task;
    std::int64_t run = 0;   ///< increases with each start of the task
    std::string payload;    ///< submitted by the caller
    std::string checkpoint; ///< from which to resume; empty: none
    std::string ticket;     ///< from the advisor; empty when none is required
};

/// The fencing token of the coordinator that sends an order, and the lease that the order grants to
/// the tasks on the target.
struct order_authority {
    std::int64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0; ///< on the target's clock; 0: leave unchanged
    /// Of the coordinator: its fencing tokens for different targets may differ.
    std::int64_t term = 0;
};

} // namespace verbenalever
