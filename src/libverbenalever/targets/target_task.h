#pragma once

#include "scheduling/resources.h"

#include <cstdint>
#include <string>

namespace verbenalever {

/// One task in a target's inventory.
struct target_task {
    std::string task;
    std::string attempt;
    std::string team;
    resources demand;
    std::string state; ///< running, succeeded, failed, stopped or lapsed
    std::string result;
    std::int64_t progress_ms = 0; ///< of the last checkpoint

    [[nodiscard]] bool running() const
    {
        return this->state == "running";
    }
};

/// @return the id of one start of a task, unique over all tasks; @p attempt is unique only among
///         the starts of its task
[[nodiscard]] inline std::string task_start_id(const std::string& task, const std::string& attempt)
{
    return task + "/" + attempt;
}

} // namespace verbenalever
