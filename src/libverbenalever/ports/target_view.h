#pragma once

#include "ports/order_result.h"
#include "ports/task_order.h"

#include <string>
#include <vector>

namespace verbenalever {

/// What a target says runs on it, and what has ended and was not yet acknowledged.
struct target_view {
    struct running_task {
        task_name task;
        std::int64_t run = 0;
        std::string checkpoint; ///< newest; empty: none
        double percent = 0;     ///< of its work
    };
    enum class ending { done, failed, stopped, lapsed, broken, alone, unrecognised };
    struct ended_task {
        std::int64_t number = 0; ///< counts the ends of this life
        task_name task;
        std::int64_t run = 0;
        ending how = ending::unrecognised;
        std::string checkpoint;
    };

    order_result result;
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

} // namespace verbenalever
