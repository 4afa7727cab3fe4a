#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Records for a short time that no target admitted a team's work although some target had
/// capacity, e.g. because of the team's upper limit. Placement decisions in this time need not
/// check every target again.
///
/// Contains the latest refused demand of each team.
class refusal_cache {
public:
    /// Record that no target admitted @p demand of @p team.
    void add(std::string_view team, const resources& demand, monotonic_time now);

    /// @return whether an equal or smaller demand of @p team was refused recently
    [[nodiscard]] bool contains(std::string_view team, const resources& demand,
                                monotonic_time now) const;

    /// Remove the refused demand of one team, e.g. because it released resources.
    void remove_team(std::string_view team);

    /// Remove the refused demands of all teams.
    void clear();

private:
    struct refusal {
        resources demand;
        monotonic_time expires;
    };

    std::map<std::string, refusal, std::less<>> refusals;
};

} // namespace verbenalever
