#pragma once

#include "scheduling/resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// What each team has running, against its upper limit and its share.
///
/// Urgent work that comes in bursts must not find its team's limit taken by slow work: as much as
/// the team's urgent work has lately used at most is kept back from what is less urgent.
class team_usage_tracker {
public:
    /// A run of the team was placed, or has ended.
    void add_run(std::string_view team, const resources& need, bool urgent);
    void remove_run(std::string_view team, const resources& need, bool urgent);

    /// A run of the team may be on a target that was not heard yet, or is known now.
    void add_possible_run(std::string_view team, const resources& need);
    void remove_possible_run(std::string_view team, const resources& need);

    /// Keep room for urgent runs that wait at their team's limit, until
    /// clear_urgent_reservations().
    void reserve_for_urgent(std::string_view team, const resources& need, std::uint32_t runs);
    void clear_urgent_reservations();

    /// @return how many runs, of @p wanted, the team may start without passing its limit
    [[nodiscard]] std::uint32_t max_runs_within_limit(std::string_view team, const resources& limit,
                                                      const resources& need, std::uint32_t wanted,
                                                      bool urgent) const;

    /// Let peaks of urgent use fade; call every age_interval.
    void decay_urgent_peaks();

    /// @param weight       the team's share among @p all_weights
    /// @param fleet        what all targets have
    /// @return whether the team uses clearly more processors than its share of a full fleet
    [[nodiscard]] bool exceeds_share(std::string_view team, double weight, double all_weights,
                                     const resources& fleet) const;

    static constexpr int peak_decay_interval_ms = 200;

private:
    struct usage_counts {
        resources used;
        resources urgent;              ///< the part of it that is urgent
        resources urgent_peak;         ///< most of that lately
        resources reserved_for_urgent; ///< for urgent runs that wait
        resources possible;            ///< may be running where it cannot be seen
    };

    std::map<std::string, usage_counts, std::less<>> usage_by_team;
};

} // namespace verbenalever
