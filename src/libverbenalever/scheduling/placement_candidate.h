#pragma once

#include "scheduling/resources.h"

#include <cstddef>
#include <string_view>

namespace verbenalever {

/// One target as a placement decision sees it.
struct placement_candidate {
    std::size_t index = 0; ///< the caller's own number for the target
    resources capacity;
    resources free;
    std::string_view rack;
    std::string_view target; ///< its name
};

} // namespace verbenalever
