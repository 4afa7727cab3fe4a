#pragma once

#include "coordinator/preemption_policy.h"
#include "coordinator/stop_avoidance.h"
#include "loop/clock.h"
#include "ports/task_order.h"
#include "scheduling/resources.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace verbenalever {

class fleet_target;
struct placed_run;

/// Which runs a step may preempt.
struct preemption_rule {
    int priority = 0; ///< of the step that preempts; only runs of less urgent work are stopped
    /// Stop only runs that resume from a checkpoint and whose workflows are in time even so.
    bool only_harmless = false;
    const stop_avoidance* avoidance = nullptr; ///< null with preemption_policy::any
};

/// A run that may be preempted.
struct preemptible_run {
    task_name task;
    const placed_run* placed = nullptr;
    double lost_work = 0; ///< work to be repeated, in thousandths of a processor times milliseconds
    fleet_target* target = nullptr;
    avoided_stop avoided = avoided_stop::none; ///< why preemption_policy::least does not stop it
};

/// Runs to preempt, on any targets.
struct chosen_runs {
    std::vector<preemptible_run> runs;
    std::size_t unneeded = 0; ///< runs that preemption_policy::any would stop besides
};

/// Runs to preempt on one target so that one more task fits; none when it fits already.
struct preemption_plan {
    fleet_target* target = nullptr;
    std::vector<preemptible_run> runs;
    /// Work lost by these runs and by those of the earlier plans for the target, which this plan
    /// needs as well.
    double lost_work = 0;
    /// Runs that preemption_policy::any would stop besides for this plan and the earlier ones.
    std::size_t unneeded = 0;
};

/// @return runs on @p target that the rule allows to preempt, least lost work first; also those
/// that preemption_policy::least does not stop
[[nodiscard]] std::vector<preemptible_run> preemptible_runs(fleet_target& target,
                                                            const preemption_rule& rule);

/// @param runs least lost work first
/// @return runs to stop, wherever they are, so that @p need fits within their capacity; all that
/// may be stopped when they are too few
[[nodiscard]] chosen_runs choose_runs(std::vector<preemptible_run> runs, const resources& need,
                                      preemption_policy policy);

/// @param runs of the target, see preemptible_runs()
/// @return a plan for each task that can be made to fit on @p target, at most @p wanted, least lost
/// work first; the capacity of runs that are being stopped counts as free
[[nodiscard]] std::vector<preemption_plan>
plan_preemptions(fleet_target& target, const resources& need, std::vector<preemptible_run> runs,
                 std::uint32_t wanted, preemption_policy policy);

/// Takes runs off the plans that will be carried out, those with most lost work first, as long as
/// one task for each plan fits on its target without them.
/// @param plans for each target its first ones, in their order
/// @param need  of one task
/// @return how many runs fewer are stopped than with preemption_policy::any
std::size_t remove_unneeded_stops(std::span<preemption_plan> plans, const resources& need);

/// @param plans made with preemption_policy::any, in the order in which they would be carried out
/// @return their runs that preemption_policy::least does not stop
[[nodiscard]] std::vector<preemptible_run> avoided_stops(std::span<const preemption_plan> plans);

} // namespace verbenalever
