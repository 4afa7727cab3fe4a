#include "coordinator/preemption_plan.h"

#include "coordinator/fleet_target.h"
#include "coordinator/workflow.h"

#include <algorithm>
#include <iterator>
#include <map>
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

/// @return what is free on the target once the runs that are being stopped have ended
resources capacity_after_stops(const fleet_target& target)
{
    auto free_capacity = target.free_resources();
    for (const auto& [task, placed] : target.tasks) {
        if (placed.stopping)
            free_capacity += placed.need;
    }
    return free_capacity;
}

/// Removes runs, those with most lost work first, as long as the need fits without them.
/// @param chosen        least lost work first
/// @param free_capacity includes that of the chosen runs; less that of the removed ones afterwards
/// @return the removed runs, most lost work first
std::vector<preemptible_run> remove_unneeded(std::vector<preemptible_run>& chosen,
                                             const resources& need, resources& free_capacity)
{
    std::vector<preemptible_run> removed;
    for (auto next = chosen.size(); next-- > 0;) {
        const auto without = free_capacity - chosen[next].placed->need;
        if (!need.fits_within(without))
            continue;
        free_capacity = without;
        removed.push_back(std::move(chosen[next]));
        chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(next));
    }
    return removed;
}

/// Removes the runs that the policy does not stop.
void remove_avoided(std::vector<preemptible_run>& runs, preemption_policy policy)
{
    if (policy == preemption_policy::least)
        std::erase_if(runs, [](const auto& run) { return run.avoided != avoided_stop::none; });
}

} // namespace

std::vector<preemptible_run> preemptible_runs(fleet_target& target, const preemption_rule& rule)
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
        if (lost_work > max_lost_work)
            continue;
        found.push_back({.task = task,
                         .placed = &placed,
                         .lost_work = static_cast<double>(lost_work.count()) *
                                      static_cast<double>(placed.need.processors_milli),
                         .target = &target,
                         .avoided = rule.avoidance == nullptr
                                        ? avoided_stop::none
                                        : rule.avoidance->judge(placed, task, now)});
    }
    std::ranges::sort(found, {}, &preemptible_run::lost_work);
    return found;
}

chosen_runs choose_runs(std::vector<preemptible_run> runs, const resources& need,
                        preemption_policy policy)
{
    remove_avoided(runs, policy);
    std::vector<preemptible_run> chosen;
    resources freed;
    for (auto& run : runs) {
        if (need.fits_within(freed))
            break;
        freed += run.placed->need;
        chosen.push_back(std::move(run));
    }
    const auto unneeded =
        policy == preemption_policy::least ? remove_unneeded(chosen, need, freed).size() : 0;
    return {std::move(chosen), unneeded};
}

std::vector<preemption_plan> plan_preemptions(fleet_target& target, const resources& need,
                                              std::vector<preemptible_run> runs,
                                              std::uint32_t wanted, preemption_policy policy)
{
    remove_avoided(runs, policy);
    auto free_capacity = capacity_after_stops(target);
    std::vector<preemption_plan> plans;
    preemption_plan plan{.target = &target};
    std::size_t next = 0; // the runs before it are in plans
    while (plans.size() < wanted) {
        if (need.fits_within(free_capacity)) {
            if (policy == preemption_policy::least) {
                // They lose no more work than those that are left, so that the order stays.
                auto unneeded = remove_unneeded(plan.runs, need, free_capacity);
                plan.unneeded += unneeded.size();
                for (auto& run : unneeded) {
                    plan.lost_work -= run.lost_work;
                    runs[--next] = std::move(run);
                }
            }
            free_capacity -= need;
            plans.push_back(plan);
            plan.runs.clear();
            continue;
        }
        if (next == runs.size())
            break;
        plan.unneeded -= plan.unneeded > 0 ? 1 : 0;
        free_capacity += runs[next].placed->need;
        plan.lost_work += runs[next].lost_work;
        plan.runs.push_back(std::move(runs[next++]));
    }
    return plans;
}

std::size_t remove_unneeded_stops(std::span<preemption_plan> plans, const resources& need)
{
    std::map<fleet_target*, std::vector<preemption_plan*>> by_target;
    for (auto& plan : plans)
        by_target[plan.target].push_back(&plan);
    std::size_t avoided = 0;
    for (auto& [target, of_target] : by_target) {
        auto free_capacity = capacity_after_stops(*target);
        resources needed;
        std::size_t unneeded = 0;
        std::vector<preemptible_run> chosen;
        for (auto* plan : of_target) {
            needed += need;
            unneeded = plan->unneeded; // the last plan counts for the earlier ones too
            std::ranges::move(plan->runs, std::back_inserter(chosen));
            plan->runs.clear();
        }
        for (const auto& run : chosen)
            free_capacity += run.placed->need;
        std::ranges::stable_sort(chosen, {}, &preemptible_run::lost_work);
        avoided += unneeded + remove_unneeded(chosen, needed, free_capacity).size();
        of_target.front()->runs = std::move(chosen);
    }
    return avoided;
}

std::vector<preemptible_run> avoided_stops(std::span<const preemption_plan> plans)
{
    std::vector<preemptible_run> found;
    for (const auto& plan : plans) {
        std::ranges::copy_if(plan.runs, std::back_inserter(found), [](const preemptible_run& run) {
            return run.avoided != avoided_stop::none;
        });
    }
    return found;
}

} // namespace verbenalever
