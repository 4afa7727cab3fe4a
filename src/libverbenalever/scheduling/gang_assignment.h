#pragma once

#include <cstdint>
#include <string>

namespace verbenalever {

/// Number of a gang's tasks that are assigned to one target.
struct gang_assignment {
    std::string target;
    std::string lease_holder; ///< the entry daemon that holds the target's lease
    std::int64_t tasks = 0;

    friend bool operator==(const gang_assignment&, const gang_assignment&) = default;
};

} // namespace verbenalever
