#pragma once

#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// Asks peers to give up amounts that they do not use, since a start is waiting for one.
struct allotment_wanted {
    static constexpr const char* type = "allotment_wanted";

    std::string team;
    resources demand;

    MSGPACK_DEFINE_MAP(team, demand)
};

} // namespace verbenalever
