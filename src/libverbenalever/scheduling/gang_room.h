#pragma once

#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// One target as a gang's plan sees it.
struct gang_room {
    std::string target;
    std::string holder; ///< the entry that holds the target's lease
    resources free;
};

} // namespace verbenalever
