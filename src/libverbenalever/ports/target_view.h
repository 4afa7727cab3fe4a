#pragma once

#include "ports/order_result.h"
#include "ports/task_order.h"

#include <string>
#include <vector>

namespace verbenalever {

/// A target's response to a poll: its running tasks, and its ended tasks that the coordinator has
/// not acknowledged yet.
struct target_view {
    struct running_task {
        task_name task;
        std::int64_t run = 0;
        std::string checkpoint; ///< latest checkpoint; empty: none
        double percent = 0;     ///< percentage of its work that is done
    };
    /// How a task ended, in the platform's words; lapsed: the lease of the target's
    /// tasks has expired.
    enum class ending { done, failed, stopped, lapsed, broken, alone, unrecognised };
    struct ended_task {
        std::int64_t number = 0; ///< counts the ended tasks since the target process started
        task_name task;
        std::int64_t run = 0;
        ending how = ending::unrecognised;
        std::string checkpoint;
    };

    order_result result;
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    bool more_ends = false; ///< the target has ended tasks that did not fit into this response
};

} // namespace verbenalever
