#pragma once

#include "scheduling/resources.h"

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

    [[nodiscard]] bool running() const
    {
        return this->state == "running";
    }
};

} // namespace verbenalever
