#pragma once

#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// One target to which a gang's tasks can be assigned.
struct gang_target {
    std::string target;
    std::string lease_holder; ///< the entry daemon that holds the target's lease
    resources free;           ///< capacity that is not in use
};

} // namespace verbenalever
