#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

class fleet_target;

/// A target that can hold tasks of a step.
struct step_candidate {
    enum class advice_permission { allowed, not_asked, ticket_expired };

    fleet_target* target = nullptr;
    /// Whether the advisor allows the step on the target.
    advice_permission advice_state = advice_permission::allowed;
    /// Number of tasks of the step that fit now, at most max_per_target.
    std::uint32_t max_tasks = 0;
    std::int64_t free_processors_milli = 0; ///< free thousandths of a processor
};

/// Chooses targets for the tasks of one step. Has no side effects.
class step_placer {
public:
    /// @param candidates usable targets that can hold at least one task
    /// @param need       resources of each task
    step_placer(std::vector<step_candidate> candidates, resources need);

    /// Chooses targets for tasks that can start now, among those with a valid ticket.
    /// @param wanted         number of tasks to place
    /// @param all_or_nothing choose no target unless all tasks fit
    /// @return the target of each placed task; fewer than @p wanted when the capacity is too small
    [[nodiscard]] std::vector<fleet_target*> place(std::uint32_t wanted, bool all_or_nothing) const;

    /// Chooses targets for all tasks among those that the advisor has allowed, including those
    /// whose ticket has expired and must be renewed.
    /// @return a target for each task; empty unless all of them fit
    [[nodiscard]] std::vector<fleet_target*> place_with_renewal(std::uint32_t wanted) const;

    /// Chooses targets to ask the advisor about.
    /// @param wanted         number of tasks without a target
    /// @param all_or_nothing whether the tasks can start only together
    /// @param grant_rate     expected fraction of targets that the advisor allows
    /// @param least_targets  a question about targets without advice names at least this many if
    ///                       there are so many, also when fewer should suffice; 0: no such limit
    /// @return targets to ask about; empty when tasks that start together are not expected to fit
    [[nodiscard]] std::vector<fleet_target*>
    select_targets_to_ask(std::uint32_t wanted, bool all_or_nothing, double grant_rate,
                          std::size_t least_targets = 0) const;

    /// If this many times the tasks would fit, the advisor is asked regardless of the grant rate.
    static constexpr std::uint64_t ample_capacity_factor = 2;

private:
    /// @return whether all tasks are likely to fit at once
    [[nodiscard]] bool can_fit(std::uint32_t wanted, double grant_rate) const;

    std::vector<step_candidate> candidates;
    resources need;
};

} // namespace verbenalever
