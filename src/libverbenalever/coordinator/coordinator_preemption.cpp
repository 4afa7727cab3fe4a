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
    std::vector<std::pair<preemptible_run, fleet_target*>> found;
    for (const auto& [name, target] : this->targets) {
        for (auto& candidate : preemptible_runs(*target, {.priority = owner.priority})) {
            if (same_team(*candidate.placed, owner))
                found.emplace_back(std::move(candidate), target.get());
        }
    }
    std::ranges::sort(found, {}, [](const auto& entry) { return entry.first.lost_work; });
    resources free_capacity;
    for (const auto& [chosen, target] : found) {
        if (need.processors_milli * tasks <= free_capacity.processors_milli &&
            need.memory_mb * tasks <= free_capacity.memory_mb)
            break;
        free_capacity += chosen.placed->need;
        this->preempt_run(*target, chosen.task, owner, "limit");
    }
}

void coordinator::preempt_run(fleet_target& target, const task_name& task,
                              const workflow& preemptor, std::string_view reason)
{
    const auto found = target.tasks.find(task);
    if (found == target.tasks.end())
        return; // it has ended while other runs were being preempted
    const auto& placed = found->second;
    this->env.metrics.add("runs_reclaimed");
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
                                       const queue_definition* queue, std::uint32_t wanted,
                                       bool may_ask)
{
    const auto now = boot_time();
    auto& step = owner.steps[step_index];
    if (!owner.urgent() || step.rank > 0 || now < step.ready_since + preemption_delay ||
        now < step.next_preemption_at || this->preemptions_left == 0)
        return false;
    const auto& need = owner.record.spec.steps[step_index].need;
    std::vector<preemption_plan> plans;
    std::vector<std::pair<double, fleet_target*>> not_asked;
    bool examined = false;
    for (const auto& [name, target] : this->targets) {
        if (!this->can_use(*target, owner, step_index))
            continue;
        examined = true;
        auto found = plan_preemptions(*target, need, {.priority = owner.priority}, wanted);
        if (found.empty())
            continue;
        const auto answer = step.advice.find(name);
        const bool needs_advice = queue != nullptr && queue->needs_advice;
        if (!needs_advice || (answer != step.advice.end() && answer->second.allowed))
            std::ranges::move(found, std::back_inserter(plans));
        else if (answer == step.advice.end())
            not_asked.emplace_back(found.front().lost_work, target.get());
    }
    this->preemptions_left -= examined ? 1 : 0;
    step.next_preemption_at = now + preemption_interval;
    if (plans.empty() && !may_ask) {
        // It looks again when it may ask, at the end of the pause, if there is something to ask.
        if (!not_asked.empty())
            step.next_preemption_at =
                std::min(step.next_preemption_at, this->economy.pause_end(step.last_question));
        return false;
    }
    if (plans.empty()) {
        const bool is_gang = owner.record.spec.steps[step_index].gang;
        const auto max_targets =
            queue == nullptr
                ? max_targets_to_ask
                : std::max(max_targets_to_ask, this->economy.least_targets(*queue, is_gang));
        std::ranges::sort(not_asked);
        std::vector<fleet_target*> targets_to_ask;
        for (const auto& [lost_work, target] : not_asked) {
            if (targets_to_ask.size() < max_targets)
                targets_to_ask.push_back(target);
        }
        // The step may preempt again as soon as the advisor has answered.
        if (!targets_to_ask.empty() &&
            this->ask_advisor(owner, step_index, *queue, targets_to_ask, is_gang))
            step.next_preemption_at = now;
        return !targets_to_ask.empty();
    }
    std::ranges::sort(plans, {}, &preemption_plan::lost_work);
    for (std::size_t next_plan = 0; next_plan < plans.size() && next_plan < wanted; ++next_plan) {
        for (const auto& chosen : plans[next_plan].runs) {
            this->preempt_run(*plans[next_plan].target, chosen.task, owner, "room");
        }
    }
    return true;
}

} // namespace verbenalever
