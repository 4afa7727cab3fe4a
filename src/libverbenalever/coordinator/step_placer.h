#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

class fleet_target;

/// A target that a step might use, with what is known of it for this step.
struct step_candidate {
    enum class advice_permission { allowed, not_asked, ticket_expired };

    fleet_target* target = nullptr;
    advice_permission advice_state =
        advice_permission::allowed; ///< by the advisor; lapsed: its ticket has run out
    std::uint32_t max_tasks = 0; ///< tasks of the step that fit now, within the step's spread limit
    std::int64_t free_processors_milli = 0; ///< thousandths of a processor that are free there
};

/// Chooses targets for the tasks of one step. It decides only; it changes nothing.
class step_placer {
public:
    /// @param candidates targets that may be used, with room for one task at least
    /// @param need       of each task
    step_placer(std::vector<step_candidate> candidates, resources need);

    /// @param wanted tasks to place
    /// @param whole  place all or none
    /// @return a target for each task placed; fewer than wanted where room is short
    [[nodiscard]] std::vector<fleet_target*> place(std::uint32_t wanted, bool all_or_nothing) const;

    /// Place all tasks on targets that the advisor has allowed, also where the ticket has run out.
    /// @return a target for each task; empty unless all of them fit
    [[nodiscard]] std::vector<fleet_target*> place_with_renewal(std::uint32_t wanted) const;

    /// Choose whom to ask the advisor about.
    /// @param wanted       tasks still without a target
    /// @param whole        all of them must find room
    /// @param grant_rate  part of the targets that the advisor allows, by experience
    /// @return targets to name; empty when the room would not do even if the advisor agreed
    [[nodiscard]] std::vector<fleet_target*>
    select_targets_to_ask(std::uint32_t wanted, bool all_or_nothing, double grant_rate) const;

private:
    /// @return whether all tasks may find places at once
    [[nodiscard]] bool can_fit(std::uint32_t wanted, double grant_rate) const;

    std::vector<step_candidate> candidates;
    resources need;
};

} // namespace verbenalever
