#pragma once

#include "scheduling/resources.h"

#include <cstdint>
#include <string>

namespace verbenalever {

/// State of one target, as input to an entry daemon's decisions about one team's allotments. That
/// entry daemon holds the target's lease.
struct allotted_target {
    std::string name;
    std::int64_t epoch = 0; ///< epoch of that lease
    resources use;          ///< what the team has running or reserved on it
    resources free;         ///< capacity that no team has reserved
};

} // namespace verbenalever
