#pragma once

#include "scheduling/resources.h"

#include <optional>
#include <string>

namespace verbenalever {

/// Settings of one team, a customer of the fleet.
struct team_configuration {
    std::string name;
    double share = 1; ///< weight against the other teams' shares when the fleet is full
    std::optional<resources> limit; ///< upper limit of the team's running work, fleet-wide
};

} // namespace verbenalever
