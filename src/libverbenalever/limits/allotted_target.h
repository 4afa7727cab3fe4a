#pragma once

#include "scheduling/resources.h"

#include <cstdint>
#include <string>

namespace verbenalever {

/// One target that this entry holds, as a decision about one team's allotments sees it.
struct allotted_target {
    std::string name;
    std::int64_t epoch = 0; ///< of the target lease held
    resources use;          ///< what the team has running or reserved there
    resources free;         ///< room that nobody has reserved
};

} // namespace verbenalever
