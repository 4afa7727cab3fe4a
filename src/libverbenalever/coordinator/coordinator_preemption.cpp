// Preemption: runs of less urgent queues are stopped for urgent steps and run again later.

#include "coordinator/coordinator.h"
#include "coordinator/preemption_plan.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace verbenalever {

namespace {

/// An urgent step waits this long for free capacity before it preempts runs.
constexpr milliseconds preemption_delay{60};
/// Minimum time between two preemptions for one step: a stop takes some hundred milliseconds.
constexpr milliseconds preemption_interval{700};
/// Targets named to the advisor when preemption is possible only on targets without advice; more
/// when advice_economy::least_targets() is greater.
constexpr std::size_t max_targets_to_ask = 8;

/// @return whether the run belongs to the team of @p owner, so that its end frees part of that
/// team's limit
bool same_team(const placed_run& placed, const workflow& owner)
{
    return placed.owner != nullptr && placed.owner->record.team == owner.record.team;
}

} // namespace

void coordinator::preempt_for_team_limit(workflow& owner, std::uint32_t step_index,
                                         std::uint32_t tasks)
{
    const auto now = boot_time();
    auto& step = owner.steps[step_index];
    if (!owner.urgent() || step.rank > 0 || now < step.next_preemption_at ||
        this->preemptions_left == 0)
        return;
    --this->preemptions_left;
    step.next_preemption_at = now + preemption_interval;
    const auto& need = owner.record.spec.steps[step_index].need;
    const auto rule = this->rule_for(owner, false);
    std::vector<preemptible_run> found;
    for (const auto& [name, target] : this->targets) {
        for (auto& candidate : preemptible_runs(*target, rule)) {
            if (same_team(*candidate.placed, owner))
                found.push_back(std::move(candidate));
        }
    }
    std::ranges::sort(found, {}, &preemptible_run::lost_work);
    const resources limited{.processors_milli = need.processors_milli * tasks,
                            .memory_mb = need.memory_mb * tasks};
    if (this->env.preemption == preemption_policy::least)
        this->count_avoided_stops(choose_runs(found, limited, preemption_policy::any).runs);
    const auto [chosen, unneeded] = choose_runs(std::move(found), limited, this->env.preemption);
    this->count_unneeded_stops(unneeded);
    for (const auto& run : chosen)
        this->preempt_run(run, owner, "limit");
}

preemption_rule coordinator::rule_for(const workflow& preemptor, bool only_harmless) const
{
    return {.priority = preemptor.priority,
            .only_harmless = only_harmless,
            .avoidance =
                this->env.preemption == preemption_policy::least ? &this->stops_to_avoid : nullptr};
}

void coordinator::count_unneeded_stops(std::size_t stops)
{
    if (stops > 0)
        this->env.metrics.add("stops_avoided_unneeded", static_cast<std::int64_t>(stops));
}

void coordinator::count_avoided_stops(std::span<const preemptible_run> runs)
{
    for (const auto& run : runs) {
        const auto found = run.target->tasks.find(run.task);
        if (run.avoided == avoided_stop::none || found == run.target->tasks.end() ||
            std::exchange(found->second.stop_avoided, true))
            continue;
        this->env.metrics.add(run.avoided == avoided_stop::ending ? "stops_avoided_ending"
                                                                  : "stops_avoided_repeated");
    }
}

void coordinator::carry_out(std::span<preemption_plan> plans, const resources& need,
                            const workflow& preemptor, std::string_view reason)
{
    if (this->env.preemption == preemption_policy::least)
        this->count_unneeded_stops(remove_unneeded_stops(plans, need));
    for (const auto& plan : plans) {
        for (const auto& run : plan.runs)
            this->preempt_run(run, preemptor, reason);
    }
}

void coordinator::preempt_run(const preemptible_run& run, const workflow& preemptor,
                              std::string_view reason)
{
    auto& target = *run.target;
    const auto& task = run.task;
    const auto found = target.tasks.find(task);
    if (found == target.tasks.end())
        return; // it has ended while other runs were being preempted
    auto& placed = found->second;
    constexpr double milli_per_core = 1000;
    this->env.metrics.add("runs_reclaimed");
    this->env.metrics.add("preempted_core_ms",
                          static_cast<std::int64_t>(run.lost_work / milli_per_core));
    if (placed.owner != nullptr)
        ++placed.owner->steps[task.step].tasks[task.index].preemptions;
    placed.preempted_at = boot_time();
    this->env.log.write("coordinator", "run_reclaimed",
                        {{"workflow", task.workflow},
                         {"step", task.step},
                         {"index", task.index},
                         {"target", target.report.name},
                         {"for", preemptor.record.id},
                         {"reason", reason},
                         {"ran_ms", (boot_time() - placed.started_at).count()}});
    this->stop_run(target, task, placed.run);
}

bool coordinator::preempt_for_capacity(workflow& owner, std::uint32_t step_index,
                                       std::uint32_t wanted)
{
    const auto now = boot_time();
    auto& step = owner.steps[step_index];
    if (!owner.urgent() || step.rank > 0 || now < step.ready_since + preemption_delay ||
        now < step.next_preemption_at || this->preemptions_left == 0)
        return false;
    const auto& need = owner.record.spec.steps[step_index].need;
    const auto rule = this->rule_for(owner, false);
    std::vector<preemption_plan> plans;
    std::vector<preemption_plan> plans_of_any; // only for the counters of avoided stops
    std::vector<std::pair<double, fleet_target*>> not_asked;
    bool examined = false;
    for (const auto& [name, target] : this->targets) {
        if (!this->can_use(*target, owner, step_index))
            continue;
        examined = true;
        const auto answer = step.advice.find(name);
        const bool allowed = !owner.definition->needs_advice ||
                             (answer != step.advice.end() && answer->second.allowed);
        auto runs = preemptible_runs(*target, rule);
        if (allowed && this->env.preemption == preemption_policy::least)
            std::ranges::move(plan_preemptions(*target, need, runs, wanted, preemption_policy::any),
                              std::back_inserter(plans_of_any));
        auto found = plan_preemptions(*target, need, std::move(runs), wanted, this->env.preemption);
        if (found.empty())
            continue;
        if (allowed)
            std::ranges::move(found, std::back_inserter(plans));
        else if (answer == step.advice.end())
            not_asked.emplace_back(found.front().lost_work, target.get());
    }
    this->preemptions_left -= examined ? 1 : 0;
    step.next_preemption_at = now + preemption_interval;
    std::ranges::sort(plans_of_any, {}, &preemption_plan::lost_work);
    plans_of_any.resize(std::min<std::size_t>(plans_of_any.size(), wanted));
    this->count_avoided_stops(avoided_stops(plans_of_any));
    if (plans.empty()) {
        const bool is_gang = owner.record.spec.steps[step_index].gang;
        const auto& queue = *owner.definition;
        const auto max_targets =
            std::max(max_targets_to_ask, this->economy.least_targets(queue, is_gang));
        std::ranges::sort(not_asked);
        std::vector<fleet_target*> targets_to_ask;
        for (const auto& [lost_work, target] : not_asked) {
            if (targets_to_ask.size() < max_targets)
                targets_to_ask.push_back(target);
        }
        // The step may preempt again as soon as the advisor has answered.
        if (!targets_to_ask.empty() &&
            this->ask_advisor(owner, step_index, queue, targets_to_ask, is_gang))
            step.next_preemption_at = now;
        return !targets_to_ask.empty();
    }
    std::ranges::sort(plans, {}, &preemption_plan::lost_work);
    plans.resize(std::min<std::size_t>(plans.size(), wanted));
    this->carry_out(plans, need, owner, "room");
    return true;
}

} // namespace verbenalever
