#pragma once

#include "scheduling/resources.h"

#include <cstddef>
#include <string_view>

namespace verbenalever {

/// One target that a placement policy can choose.
struct placement_candidate {
    std::size_t index = 0; ///< number that the caller uses for the target
    resources capacity;
    resources free;
    std::string_view rack;
    std::string_view target; ///< name
};

} // namespace verbenalever
