#include "coordinator/preemption_plan.h"

#include "coordinator/fleet_target.h"
#include "coordinator/workflow.h"

#include <algorithm>
#include <utility>

namespace verbenalever {

namespace {

/// A run that would lose more work than this is not preempted.
constexpr milliseconds max_lost_work{1500};
/// Work that a run with checkpoints loses at most: about the time between two checkpoints.
constexpr milliseconds checkpoint_interval{700};
/// Time that a stopped run takes until it runs again on another target.
constexpr milliseconds restart_time{1500};

/// @return whether a run resumes from a checkpoint and its workflow is in time even if it is
/// stopped
bool harmless_to_stop(const placed_run& placed, std::uint32_t step, milliseconds now)
{
    constexpr double complete_percent = 100;
    const auto& owner = *placed.owner;
    if (!owner.record.spec.steps[step].checkpointing)
        return false;
    const auto part_left = 1 - std::min(placed.percent, complete_percent) / complete_percent;
    const auto time_left =
        static_cast<double>(owner.steps[step].time_to_workflow_end.count()) * part_left;
    return now + restart_time + milliseconds(static_cast<std::int64_t>(time_left)) <= owner.due_at;
}

} // namespace

std::vector<preemptible_run> preemptible_runs(const fleet_target& target,
                                              const preemption_rule& rule)
{
    const auto now = boot_time();
    std::vector<preemptible_run> found;
    for (const auto& [task, placed] : target.tasks) {
        if (placed.owner == nullptr || placed.stopping || !placed.started ||
            placed.owner->priority <= rule.priority || is_final(placed.owner->state))
            continue;
        const auto& spec = placed.owner->record.spec.steps[task.step];
        if (spec.gang || spec.long_running)
            continue;
        if (rule.only_harmless && !harmless_to_stop(placed, task.step, now))
            continue;
        auto lost_work = now - placed.started_at;
        if (spec.checkpointing)
            lost_work = std::min(lost_work, checkpoint_interval);
        if (lost_work <= max_lost_work)
            found.push_back({task, &placed,
                             static_cast<double>(lost_work.count()) *
                                 static_cast<double>(placed.need.processors_milli)});
    }
    std::ranges::sort(found, {}, &preemptible_run::lost_work);
    return found;
}

std::vector<preemption_plan> plan_preemptions(fleet_target& target, const resources& need,
                                              const preemption_rule& rule, std::uint32_t wanted)
{
    auto free_capacity = target.free_resources();
    for (const auto& [task, placed] : target.tasks) {
        if (placed.stopping)
            free_capacity += placed.need;
    }
    std::vector<preemption_plan> plans;
    preemption_plan plan{.target = &target};
    auto runs = preemptible_runs(target, rule);
    std::size_t next = 0;
    while (plans.size() < wanted) {
        if (need.fits_within(free_capacity)) {
            free_capacity -= need;
            plans.push_back(plan);
            plan.runs.clear();
            continue;
        }
        if (next == runs.size())
            break;
        free_capacity += runs[next].placed->need;
        plan.lost_work += runs[next].lost_work;
        plan.runs.push_back(std::move(runs[next++]));
    }
    return plans;
}

} // namespace verbenalever
