#pragma once

#include "loop/endpoint.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// A target's registration in the platform's list.
struct target_report {
    std::string name;
    std::int64_t born_ms = 0; ///< start of the target process, milliseconds since the Unix epoch
    endpoint address;
    std::string pool; ///< name of the group of targets that it belongs to, see queue_definition
    std::string availability_zone;
    std::vector<std::string> labels;
    resources capacity;
    bool leaving = false; ///< accepts no new work and will shut down soon

    friend bool operator==(const target_report&, const target_report&) = default;
};

} // namespace verbenalever
