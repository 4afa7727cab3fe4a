#pragma once

#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// Asks all peers to release the allotments of the team that they do not use, because a start that
/// needs `demand` is waiting at the sender.
struct allotment_release_request {
    static constexpr const char* type = "allotment_wanted";

    std::string team;
    resources demand;

    MSGPACK_DEFINE_MAP(team, demand)
};

} // namespace verbenalever
