#pragma once

#include "scheduling/team_usage_entry.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// What teams have on an entry's targets: those that changed since its last message, and all whose
/// names are in one range. The range moves on with each message, so that whatever a lost message
/// said is made good.
///
/// Amounts are totals, not differences: a message may be repeated.
struct team_usage {
    static constexpr const char* type = "team_usage";

    std::vector<team_usage_entry> teams;
    std::string range_from;   ///< first name of the range
    std::string range_before; ///< first name after it; not used when it goes to the end
    bool range_to_end = false;

    MSGPACK_DEFINE_MAP(teams, range_from, range_before, range_to_end)
};

} // namespace verbenalever
