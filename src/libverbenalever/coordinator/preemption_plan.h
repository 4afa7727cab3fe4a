#pragma once

#include "loop/clock.h"
#include "ports/task_order.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace verbenalever {

class fleet_target;
class preemption_cost;
struct capacity_forecast;
struct placed_run;

/// Which runs a step may preempt.
struct preemption_rule {
    int priority = 0; ///< of the step that preempts; only runs of less urgent work are stopped
    /// Stop only runs that resume from a checkpoint and whose workflows are in time even so.
    bool only_harmless = false;
    std::optional<std::string_view> team;  ///< only runs of this team are stopped; none: of any
    const preemption_cost* cost = nullptr; ///< knows which runs end soon; null: not considered
};

/// Numbers of runs that a rule allows to preempt and that are spared because of their cost.
struct spared_runs {
    int ending = 0;        ///< end within the time that a stop takes
    int stopped_often = 0; ///< of tasks whose runs were stopped too often
};

/// A run that may be preempted.
struct preemptible_run {
    task_name task;
    const placed_run* placed = nullptr;
    double lost_work = 0; ///< work to be repeated, in thousandths of a processor times milliseconds
};

/// Runs to preempt on one target so that one more task fits; none when it fits already.
struct preemption_plan {
    fleet_target* target = nullptr;
    std::vector<preemptible_run> runs;
    /// Work lost by these runs and by those of the earlier plans for the target, which this plan
    /// needs as well.
    double lost_work = 0;
};

/// @return work that is lost when a run whose workflow has not ended is stopped, in thousandths of
/// a processor times milliseconds; for a member of a gang the work of the whole gang
[[nodiscard]] double work_lost_by_stop(const placed_run& placed, std::uint32_t step,
                                       milliseconds now);

/// @param spared the runs that are spared are added to it
/// @return runs on @p target that the rule allows to preempt, least lost work first
[[nodiscard]] std::vector<preemptible_run>
preemptible_runs(const fleet_target& target, const preemption_rule& rule, spared_runs& spared);

/// Adds the runs on @p target that are expected to end to the forecast, and to @p runs; those that
/// another step waits for are left out. The ends are in no particular order.
/// @param wanted selects the runs
void add_expected_ends(fleet_target& target, const std::function<bool(const placed_run&)>& wanted,
                       capacity_forecast& forecast, std::vector<placed_run*>& runs);

/// @return capacity that is free now or when the runs that are being stopped have ended
[[nodiscard]] resources capacity_after_stops(const fleet_target& target);

/// @return a plan for each task that can be made to fit on @p target, at most @p wanted, least lost
/// work first; the capacity of runs that are being stopped counts as free
[[nodiscard]] std::vector<preemption_plan>
plan_preemptions(fleet_target& target, const resources& need, const preemption_rule& rule,
                 std::uint32_t wanted, spared_runs& spared);

} // namespace verbenalever
