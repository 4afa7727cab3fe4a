#pragma once

#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// Broadcast to peers: release allotments of the team that you do not use, because a start of this
/// size is waiting here.
struct allotment_release_request {
    static constexpr const char* type = "allotment_wanted";

    std::string team;
    resources demand;

    MSGPACK_DEFINE_MAP(team, demand)
};

} // namespace verbenalever
