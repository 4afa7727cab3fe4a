#pragma once

#include "scheduling/resources.h"

#include <string>
#include <vector>

namespace verbenalever {

/// Configuration of a team: its access keys, share and upper limit.
struct team_definition {
    std::string name;
    std::vector<std::string> keys;
    double weight = 1; ///< relative share when the fleet is full
    resources limit;   ///< maximum that it may have running; 0: no limit
};

} // namespace verbenalever
