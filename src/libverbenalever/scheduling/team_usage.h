#pragma once

#include "scheduling/team_usage_entry.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Message with the usage of teams on the sender's targets: of all teams whose usage changed since
/// the last message, and of all teams whose names are in one range. Each message has the next
/// range, so that the content of a lost message is sent again within one round over all names.
///
/// Amounts are totals, not differences, so that a message can be applied more than once.
struct team_usage {
    static constexpr const char* type = "team_usage";

    std::vector<team_usage_entry> teams;
    std::string range_from;    ///< first name of the range
    std::string range_before;  ///< first name after the range; unused with range_to_end
    bool range_to_end = false; ///< the range contains all names from range_from on

    MSGPACK_DEFINE_MAP(teams, range_from, range_before, range_to_end)
};

} // namespace verbenalever
