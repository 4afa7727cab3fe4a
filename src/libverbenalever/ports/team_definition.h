#pragma once

#include "scheduling/resources.h"

#include <string>
#include <vector>

namespace verbenalever {

/// A team with its keys, share and upper limit.
struct team_definition {
    std::string name;
    std::vector<std::string> keys;
    double weight = 1; ///< its share when the fleet is full
    resources limit;   ///< most that it may have running; 0: no limit
};

} // namespace verbenalever
