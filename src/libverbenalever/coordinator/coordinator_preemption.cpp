// Preemption: runs of less urgent queues are stopped for urgent steps and run again later.

#include "coordinator/coordinator.h"
#include "coordinator/preemption_plan.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <utility>

namespace verbenalever {

namespace {

/// An urgent step waits this long for free capacity before it preempts runs.
constexpr milliseconds preemption_delay{60};
/// Minimum time between two preemptions for one step: a stop takes some hundred milliseconds.
constexpr milliseconds preemption_interval{700};
/// Targets named to the advisor when preemption is possible only on targets without advice.
constexpr std::size_t max_targets_to_ask = 8;

/// Names of the causes coordinator::preemption_avoided in the log, and of their counters.
constexpr std::array<std::string_view, 3> cause_names = {"too_late", "ends_soon", "spared"};
constexpr std::array<std::string_view, 3> cause_counters = {
    "preemptions_avoided_too_late", "preemptions_avoided_ends_soon", "preemptions_avoided_spared"};

/// @return whether the run belongs to the team of @p owner, so that its end frees part of that
/// team's limit
bool same_team(const placed_run& placed, const workflow& owner)
{
    return placed.owner != nullptr && placed.owner->record.team == owner.record.team;
}

bool any_run(const placed_run& /*placed*/)
{
    return true;
}

} // namespace

std::optional<preemptor_outlook> coordinator::preemptor_of(const workflow& owner,
                                                           std::uint32_t step_index) const
{
    const auto run_length = this->learned_run_length(owner, step_index);
    if (!run_length)
        return std::nullopt;
    const auto& spec = owner.record.spec.steps[step_index];
    return preemptor_outlook{
        .time_left = owner.due_at - boot_time(),
        .run_time = owner.steps[step_index].time_to_workflow_end,
        .work = preemption_cost::lost_work({.repeated = *run_length,
                                            .processors_milli = spec.need.processors_milli,
                                            .members = spec.count})};
}

double coordinator::max_lost_work(const workflow& owner, std::uint32_t step_index) const
{
    const auto preemptor = this->preemptor_of(owner, step_index);
    return preemptor ? preemption_cost::max_lost_work(*preemptor)
                     : std::numeric_limits<double>::infinity();
}

void coordinator::avoid_preemption(workflow& owner, std::uint32_t step_index,
                                   preemption_avoided cause, milliseconds wait)
{
    auto& step = owner.steps[step_index];
    step.next_preemption_at = boot_time() + wait;
    this->env.metrics.add(cause_counters[static_cast<std::size_t>(cause)]);
    const auto time_left = owner.due_at - boot_time() - step.time_to_workflow_end;
    this->env.log.write("coordinator", "preemption_avoided",
                        {{"workflow", owner.record.id},
                         {"step", step_index},
                         {"cause", cause_names[static_cast<std::size_t>(cause)]},
                         {"slack_ms", time_left.count()},
                         {"stop_ms", this->stop_cost.stop_time().value_or(milliseconds(0)).count()},
                         {"wait_ms", wait.count()}});
}

bool coordinator::avoid_late_preemption(workflow& owner, std::uint32_t step_index)
{
    const auto preemptor = this->preemptor_of(owner, step_index);
    if (!preemptor || !this->stop_cost.too_late(*preemptor))
        return false;
    this->avoid_preemption(owner, step_index, preemption_avoided::too_late, preemption_interval);
    return true;
}

bool coordinator::await_ends(workflow& owner, std::uint32_t step_index,
                             std::span<capacity_forecast> forecasts,
                             std::span<placed_run* const> runs, const resources& need,
                             std::uint32_t tasks)
{
    const auto preemptor = this->preemptor_of(owner, step_index);
    if (!preemptor)
        return false;
    const auto longest = this->stop_cost.longest_wait(*preemptor);
    if (longest.count() <= 0)
        return false;
    for (auto& forecast : forecasts)
        std::ranges::sort(forecast.ends, {}, &capacity_forecast::run_end::rest);
    const auto found = preemption_cost::find_ends(forecasts, need, tasks, longest);
    // Without an end to wait for, the capacity is that of runs which are being stopped.
    if (!found || found->runs.empty())
        return false;
    for (const auto run : found->runs)
        runs[run]->awaited_until = boot_time() + found->wait;
    this->avoid_preemption(owner, step_index, preemption_avoided::ends_soon, found->wait);
    return true;
}

void coordinator::record_spared(workflow& owner, std::uint32_t step_index,
                                const spared_runs& spared, milliseconds wait)
{
    if (spared.ending > 0)
        this->avoid_preemption(owner, step_index, preemption_avoided::ends_soon,
                               std::min(wait, this->stop_cost.stop_time().value_or(wait)));
    else if (spared.stopped_often > 0)
        this->avoid_preemption(owner, step_index, preemption_avoided::spared, wait);
}

void coordinator::preempt_for_team_limit(workflow& owner, std::uint32_t step_index,
                                         std::uint32_t tasks)
{
    const auto now = boot_time();
    auto& step = owner.steps[step_index];
    if (!owner.urgent() || step.rank > 0 || now < step.next_preemption_at ||
        this->preemptions_left == 0 || this->avoid_late_preemption(owner, step_index))
        return;
    --this->preemptions_left;
    step.next_preemption_at = now + preemption_interval;
    const auto& need = owner.record.spec.steps[step_index].need;
    const auto of_team = [&owner](const placed_run& placed) { return same_team(placed, owner); };
    std::vector<std::pair<preemptible_run, fleet_target*>> found;
    capacity_forecast within_limit;
    std::vector<placed_run*> runs;
    spared_runs spared;
    const preemption_rule rule{
        .priority = owner.priority, .team = owner.record.team, .cost = &this->stop_cost};
    for (const auto& [name, target] : this->targets) {
        for (auto& candidate : preemptible_runs(*target, rule, spared))
            found.emplace_back(std::move(candidate), target.get());
        add_expected_ends(*target, of_team, within_limit, runs);
    }
    const resources limited{.processors_milli = need.processors_milli, .memory_mb = need.memory_mb};
    if (!found.empty() &&
        this->await_ends(owner, step_index, {&within_limit, 1}, runs, limited, tasks))
        return;
    if (found.empty())
        this->record_spared(owner, step_index, spared, preemption_interval);
    std::ranges::sort(found, {}, [](const auto& entry) { return entry.first.lost_work; });
    resources free_capacity;
    double work_left = this->max_lost_work(owner, step_index);
    for (const auto& [chosen, target] : found) {
        if (need.processors_milli * tasks <= free_capacity.processors_milli &&
            need.memory_mb * tasks <= free_capacity.memory_mb)
            break;
        if (chosen.lost_work > work_left) {
            this->avoid_preemption(owner, step_index, preemption_avoided::spared,
                                   preemption_interval);
            break;
        }
        work_left -= chosen.lost_work;
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
    if (placed.owner != nullptr && !is_final(placed.owner->state)) {
        ++placed.owner->steps[task.step].tasks[task.index].preemptions;
        constexpr double milli_per_core = 1000;
        this->env.metrics.add(
            "preempted_core_ms",
            static_cast<std::int64_t>(work_lost_by_stop(placed, task.step, boot_time()) /
                                      milli_per_core));
    }
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
                                       const queue_definition* queue, std::uint32_t wanted)
{
    const auto now = boot_time();
    auto& step = owner.steps[step_index];
    if (!owner.urgent() || step.rank > 0 || now < step.ready_since + preemption_delay ||
        now < step.next_preemption_at || this->preemptions_left == 0 ||
        this->avoid_late_preemption(owner, step_index))
        return false;
    const auto& need = owner.record.spec.steps[step_index].need;
    const preemption_rule rule{.priority = owner.priority, .cost = &this->stop_cost};
    std::vector<capacity_forecast> forecasts;
    std::vector<placed_run*> runs;
    spared_runs spared;
    std::vector<preemption_plan> plans;
    std::vector<std::pair<double, fleet_target*>> not_asked;
    bool examined = false;
    for (const auto& [name, target] : this->targets) {
        if (!this->can_use(*target, owner, step_index))
            continue;
        examined = true;
        const auto answer = step.advice.find(name);
        const bool needs_advice = queue != nullptr && queue->needs_advice;
        const bool allowed =
            !needs_advice || (answer != step.advice.end() && answer->second.allowed);
        if (allowed) {
            forecasts.push_back({.available = capacity_after_stops(*target), .ends = {}});
            add_expected_ends(*target, any_run, forecasts.back(), runs);
        }
        auto found = plan_preemptions(*target, need, rule, wanted, spared);
        if (found.empty())
            continue;
        if (allowed)
            std::ranges::move(found, std::back_inserter(plans));
        else if (answer == step.advice.end())
            not_asked.emplace_back(found.front().lost_work, target.get());
    }
    this->preemptions_left -= examined ? 1 : 0;
    step.next_preemption_at = now + preemption_interval;
    if (plans.empty()) {
        std::ranges::sort(not_asked);
        std::vector<fleet_target*> targets_to_ask;
        for (const auto& [lost_work, target] : not_asked) {
            if (targets_to_ask.size() < max_targets_to_ask)
                targets_to_ask.push_back(target);
        }
        // The step may preempt again as soon as the advisor has answered.
        const bool is_gang = owner.record.spec.steps[step_index].gang;
        if (targets_to_ask.empty())
            this->record_spared(owner, step_index, spared, preemption_interval);
        else if (this->ask_advisor(owner, step_index, *queue, targets_to_ask, is_gang))
            step.next_preemption_at = now;
        return !targets_to_ask.empty();
    }
    if (this->await_ends(owner, step_index, forecasts, runs, need, wanted))
        return false;
    // A plan of a target needs the earlier plans of that target, which lose no more work.
    std::ranges::stable_sort(plans, {}, &preemption_plan::lost_work);
    return this->preempt_plans(owner, step_index,
                               std::span(plans).first(std::min<std::size_t>(plans.size(), wanted)));
}

bool coordinator::preempt_plans(workflow& owner, std::uint32_t step_index,
                                std::span<const preemption_plan> plans)
{
    double work_left = this->max_lost_work(owner, step_index);
    for (const auto& plan : plans) {
        for (const auto& chosen : plan.runs)
            work_left -= chosen.lost_work;
        if (work_left < 0) {
            this->avoid_preemption(owner, step_index, preemption_avoided::spared,
                                   preemption_interval);
            return &plan != &plans.front();
        }
        for (const auto& chosen : plan.runs)
            this->preempt_run(*plan.target, chosen.task, owner, "room");
    }
    return true;
}

} // namespace verbenalever
