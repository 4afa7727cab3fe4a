#include "coordinator/preemption_plan.h"

#include "coordinator/fleet_target.h"
#include "coordinator/preemption_cost.h"
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

/// @return time that a run repeats when it is stopped
milliseconds time_lost_by_stop(const placed_run& placed, std::uint32_t step, milliseconds now)
{
    const auto lasted = now - placed.started_at;
    return placed.owner->record.spec.steps[step].checkpointing
               ? std::min(lasted, checkpoint_interval)
               : lasted;
}

run_outlook outlook_of(const placed_run& placed, milliseconds now)
{
    return {.age = now - placed.started_at,
            .predicted = placed.predicted,
            .percent = placed.percent,
            .age_at_percent = placed.percent_changed_at - placed.started_at};
}

/// Counts the run in @p spared when its stop is avoided. @return whether it is
bool is_spared(const placed_run& placed, const task_name& task, const preemption_rule& rule,
               milliseconds now, spared_runs& spared)
{
    const auto& owner_task = placed.owner->steps[task.step].tasks[task.index];
    if (preemption_cost::stopped_too_often(owner_task.preemptions)) {
        ++spared.stopped_often;
        return true;
    }
    if (rule.cost != nullptr && rule.cost->ends_during_stop(outlook_of(placed, now))) {
        ++spared.ending;
        return true;
    }
    return false;
}

} // namespace

double work_lost_by_stop(const placed_run& placed, std::uint32_t step, milliseconds now)
{
    const auto& spec = placed.owner->record.spec.steps[step];
    return preemption_cost::lost_work({.repeated = time_lost_by_stop(placed, step, now),
                                       .processors_milli = placed.need.processors_milli,
                                       .members = spec.gang ? spec.count : 1});
}

std::vector<preemptible_run> preemptible_runs(const fleet_target& target,
                                              const preemption_rule& rule, spared_runs& spared)
{
    const auto now = boot_time();
    std::vector<preemptible_run> found;
    for (const auto& [task, placed] : target.tasks) {
        if (placed.owner == nullptr || placed.stopping || !placed.started ||
            placed.owner->priority <= rule.priority || is_final(placed.owner->state))
            continue;
        const auto& spec = placed.owner->record.spec.steps[task.step];
        if (spec.gang || spec.long_running ||
            (rule.team && placed.owner->record.team != *rule.team))
            continue;
        if (rule.only_harmless && !harmless_to_stop(placed, task.step, now))
            continue;
        if (time_lost_by_stop(placed, task.step, now) <= max_lost_work &&
            !is_spared(placed, task, rule, now, spared))
            found.push_back({task, &placed, work_lost_by_stop(placed, task.step, now)});
    }
    std::ranges::sort(found, {}, &preemptible_run::lost_work);
    return found;
}

void add_expected_ends(fleet_target& target, const std::function<bool(const placed_run&)>& wanted,
                       capacity_forecast& forecast, std::vector<placed_run*>& runs)
{
    const auto now = boot_time();
    for (auto& [task, placed] : target.tasks) {
        if (placed.stopping || !placed.started || placed.awaited_until > now || !wanted(placed))
            continue;
        const auto rest = preemption_cost::expected_rest(outlook_of(placed, now));
        if (!rest)
            continue;
        forecast.ends.push_back({*rest, placed.need, runs.size()});
        runs.push_back(&placed);
    }
}

resources capacity_after_stops(const fleet_target& target)
{
    auto capacity = target.free_resources();
    for (const auto& [task, placed] : target.tasks) {
        if (placed.stopping)
            capacity += placed.need;
    }
    return capacity;
}

std::vector<preemption_plan> plan_preemptions(fleet_target& target, const resources& need,
                                              const preemption_rule& rule, std::uint32_t wanted,
                                              spared_runs& spared)
{
    auto free_capacity = capacity_after_stops(target);
    std::vector<preemption_plan> plans;
    preemption_plan plan{.target = &target};
    auto runs = preemptible_runs(target, rule, spared);
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
