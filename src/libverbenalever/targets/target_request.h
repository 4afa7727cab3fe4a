#pragma once

#include <string>

namespace verbenalever {

/// One request in flight in a target's inventory; it takes one slot.
struct target_request {
    std::string request;
    std::string team;
};

} // namespace verbenalever
