#pragma once

#include "loop/clock.h"
#include "ports/task_order.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <vector>

namespace verbenalever {

class fleet_target;
struct placed_run;

/// Which runs a step may preempt.
struct preemption_rule {
    int priority = 0; ///< of the step that preempts; only runs of less urgent work are stopped
    /// Stop only runs that resume from a checkpoint and whose workflows are in time even so.
    bool only_harmless = false;
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

/// @return runs on @p target that the rule allows to preempt, least lost work first
[[nodiscard]] std::vector<preemptible_run> preemptible_runs(const fleet_target& target,
                                                            const preemption_rule& rule);

/// @return a plan for each task that can be made to fit on @p target, at most @p wanted, least lost
/// work first; the capacity of runs that are being stopped counts as free
[[nodiscard]] std::vector<preemption_plan> plan_preemptions(fleet_target& target,
                                                            const resources& need,
                                                            const preemption_rule& rule,
                                                            std::uint32_t wanted);

} // namespace verbenalever
