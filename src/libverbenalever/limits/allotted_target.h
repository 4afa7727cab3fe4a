#pragma once

#include "scheduling/resources.h"

#include <cstdint>
#include <string>

namespace verbenalever {

/// State of one target whose lease this entry holds, as input to decisions about one team's
/// allotments.
struct allotted_target {
    std::string name;
    std::int64_t epoch = 0; ///< epoch of this entry's lease of the target
    resources use;          ///< what the team has running or reserved on it
    resources free;         ///< capacity that no team has reserved
};

} // namespace verbenalever
