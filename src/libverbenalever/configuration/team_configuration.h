#pragma once

#include "scheduling/resources.h"

#include <optional>
#include <string>

namespace verbenalever {

/// One customer of the fleet.
struct team_configuration {
    std::string name;
    double share = 1;               ///< relative to the other teams' when the fleet is full
    std::optional<resources> limit; ///< the most it may have running, fleet-wide
};

} // namespace verbenalever
