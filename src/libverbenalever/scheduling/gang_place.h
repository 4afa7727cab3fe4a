#pragma once

#include <cstdint>
#include <string>

namespace verbenalever {

/// How many of a gang's tasks go to one target.
struct gang_place {
    std::string target;
    std::string holder; ///< the entry that holds the target's lease
    std::int64_t tasks = 0;

    friend bool operator==(const gang_place&, const gang_place&) = default;
};

} // namespace verbenalever
