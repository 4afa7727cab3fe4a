#pragma once

#include "loop/endpoint.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// What one target says of itself.
struct target_report {
    std::string name;
    std::int64_t born_ms = 0; ///< start of this life, milliseconds since the Unix epoch
    endpoint address;
    std::string pool; ///< the service whose work it takes
    std::string availability_zone;
    std::vector<std::string> labels;
    resources capacity;
    bool leaving = false; ///< takes no new work and ends soon
};

} // namespace verbenalever
