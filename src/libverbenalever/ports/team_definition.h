#pragma once

#include "scheduling/resources.h"

#include <string>
#include <vector>

namespace verbenalever {

/// Configuration of a team: its access keys, share and upper limit.
struct team_definition {
    std::string name;
    std::vector<std::string> keys;
    double weight = 1; ///< the team's share of a full fleet, relative to other teams' weights
    resources limit;   ///< maximum that its running tasks may use together; 0: no limit
};

} // namespace verbenalever
