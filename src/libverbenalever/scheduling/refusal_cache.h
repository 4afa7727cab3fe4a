#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Remembers for a short time which teams no target admits although there is room, e.g. because of
/// their upper limits, so that not every decision asks about each of them on every target again.
class refusal_cache {
public:
    /// Note that no target admitted @p demand of @p team.
    void add(std::string_view team, const resources& demand, monotonic_time now);

    /// @return whether as much or less was refused to @p team lately
    [[nodiscard]] bool contains(std::string_view team, const resources& demand,
                                monotonic_time now) const;

    /// Ask anew about one team, e.g. because it gave something back.
    void remove_team(std::string_view team);

    /// Ask anew about all teams.
    void clear();

private:
    struct refusal {
        resources demand;
        monotonic_time until;
    };

    std::map<std::string, refusal, std::less<>> refusals;
};

} // namespace verbenalever
