#pragma once

#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// One target as a gang's plan sees it.
struct gang_target {
    std::string target;
    std::string lease_holder; ///< the entry that holds the target's lease
    resources free;
};

} // namespace verbenalever
