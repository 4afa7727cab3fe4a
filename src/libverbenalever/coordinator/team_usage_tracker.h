#pragma once

#include "scheduling/resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Tracks the resources that the runs of each team use, to enforce the team's limit and share.
///
/// Urgent work that arrives in bursts must not find its team's limit used up by slower work. Less
/// urgent work therefore may not use what the team's urgent work has used at its recent peak, until
/// no urgent work has run for a while.
class team_usage_tracker {
public:
    /// Add a run that was placed, or remove one that has ended.
    void add_run(std::string_view team, const resources& need, bool urgent);
    void remove_run(std::string_view team, const resources& need, bool urgent);

    /// Add a run that may exist on a target that has not answered a poll yet, or remove it once it
    /// is known whether it exists.
    void add_possible_run(std::string_view team, const resources& need);
    void remove_possible_run(std::string_view team, const resources& need);

    /// Reserve a part of the team's limit for urgent runs that cannot start because of the limit,
    /// until clear_urgent_reservations() is called.
    void reserve_for_urgent(std::string_view team, const resources& need, std::uint32_t runs);
    void clear_urgent_reservations();

    /// @return how many runs, at most @p wanted, fit within @p limit beside @p used of it
    [[nodiscard]] static std::uint32_t max_runs_beside(const resources& used,
                                                       const resources& limit,
                                                       const resources& need, std::uint32_t wanted);

    /// @return how many runs, at most @p wanted, the team may start without exceeding @p limit
    [[nodiscard]] std::uint32_t max_runs_within_limit(std::string_view team, const resources& limit,
                                                      const resources& need, std::uint32_t wanted,
                                                      bool urgent) const;

    /// Reduce the recorded peaks of urgent usage by one step; to be called every
    /// peak_decay_interval_ms.
    void decay_urgent_peaks();

    /// @param weight      the team's weight; its share of the fleet is this part of @p all_weights
    /// @param fleet       capacity of all usable targets
    /// @return whether the team uses more processors than its share of the fleet plus a tolerance
    [[nodiscard]] bool exceeds_share(std::string_view team, double weight, double all_weights,
                                     const resources& fleet) const;

    /// @param urgent whether to count only urgent runs
    /// @return processors in use by the team's runs, in thousandths; runs that may exist on targets
    /// not polled yet are included unless only urgent ones are counted
    [[nodiscard]] std::int64_t processors_in_use(std::string_view team, bool urgent) const;

    static constexpr int peak_decay_interval_ms = 200;

private:
    struct usage_counts {
        resources used;
        resources urgent;              ///< the part of used that is urgent
        resources urgent_peak;         ///< recent peak of urgent, decaying
        resources reserved_for_urgent; ///< for urgent runs that the limit prevents from starting
        resources possible;            ///< of runs that may exist on targets not polled yet
        int quiet_intervals = 0;       ///< decay intervals since the last urgent run
    };

    std::map<std::string, usage_counts, std::less<>> usage_by_team;
};

} // namespace verbenalever
