// Starts that were sent and not confirmed before their runs were given up. A target may still
// execute them, under a lease that is renewed for other runs, while their tasks run elsewhere.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <utility>

namespace verbenalever {

namespace {

/// How long the unresolved starts of a target that does not return are remembered. Orders are
/// executed seconds late at the most.
constexpr milliseconds removed_starts_retention{60'000};

/// @return milliseconds until @p moment; 0 when it is over
std::int64_t time_until(milliseconds moment)
{
    return std::max(milliseconds(0), moment - boot_time()).count();
}

} // namespace

bool coordinator::may_start_in_next_life(const placed_run& placed)
{
    // The next life of the target may have answered a start that no poll has shown.
    return placed.start_sent && (!placed.listed || placed.answer_missed);
}

milliseconds coordinator::next_life_expiry(const fleet_target& target, const placed_run& placed)
{
    // An order that was executed while this life went on was not executed by the next one.
    const auto kept_until = placed.unanswered_until > target.session->last_polled_at()
                                ? placed.unanswered_until
                                : milliseconds(0);
    return target.session->next_life_lease_expiry(kept_until);
}

void coordinator::add_unresolved_start(fleet_target& target, const task_name& task,
                                       const placed_run& placed)
{
    target.unresolved_starts[task] = {.run = placed.run,
                                      .held_until = next_life_expiry(target, placed),
                                      .need = placed.need,
                                      .unanswered_until = placed.unanswered_until};
}

void coordinator::store_unanswered_start(const fleet_target& target, const task_name& task,
                                         placed_run& placed)
{
    this->env.metrics.add("starts_unanswered");
    if (placed.unanswered_batch != 0 || placed.owner == nullptr)
        return;
    placed.unanswered_batch =
        this->placements.add({.workflow = task.workflow,
                              .occurrence = task.occurrence,
                              .step = task.step,
                              .index = task.index,
                              .run = placed.run,
                              .target = target.report.name,
                              .target_born_ms = target.report.born_ms,
                              .unanswered = true,
                              .late_ms = time_until(placed.unanswered_until)});
}

void coordinator::keep_unresolved_starts(const fleet_target& target)
{
    const auto now = boot_time();
    std::erase_if(this->removed_unresolved_starts, [now](const auto& kept) {
        return kept.second.removed_at + removed_starts_retention < now;
    });
    if (!target.unresolved_starts.empty())
        this->removed_unresolved_starts[target.report.name] = {.starts = target.unresolved_starts,
                                                               .removed_at = now,
                                                               .born_ms = target.report.born_ms};
}

void coordinator::restore_unresolved_starts(fleet_target& target)
{
    const auto kept = this->removed_unresolved_starts.find(target.report.name);
    if (kept == this->removed_unresolved_starts.end())
        return;
    for (const auto& [task, start] : kept->second.starts)
        target.unresolved_starts[task] = {.run = start.run,
                                          .holds_task = start.holds_task,
                                          .held_until = start.held_until,
                                          .batch = start.batch,
                                          .need = start.need,
                                          .unanswered_until = start.unanswered_until};
    this->removed_unresolved_starts.erase(kept);
}

void coordinator::hold_tasks_of_unresolved_starts(const std::string& target)
{
    const auto kept = this->removed_unresolved_starts.find(target);
    if (kept == this->removed_unresolved_starts.end())
        return;
    for (auto& [name, start] : kept->second.starts) {
        auto* owner = this->find_workflow(name.workflow);
        if (owner == nullptr || is_final(owner->state))
            continue;
        auto& step = owner->steps[name.step];
        auto& task = step.tasks[name.index];
        if (task.current_phase != workflow_task::phase::waiting || task.run != start.run)
            continue;
        task.current_phase = workflow_task::phase::awaiting_target;
        task.awaited_target_count = 1;
        --step.waiting_count;
        start.holds_task = true;
        this->env.log.write("coordinator", "task_held",
                            {{"workflow", name.workflow},
                             {"step", name.step},
                             {"index", name.index},
                             {"run", start.run},
                             {"target", target},
                             {"unanswered", start.unanswered_until.count() != 0},
                             {"start_late_ms", time_until(start.unanswered_until)},
                             {"for_ms", time_until(start.held_until)}});
        // A successor has to wait for the target too.
        start.batch = this->placements.add({.workflow = name.workflow,
                                            .occurrence = name.occurrence,
                                            .step = name.step,
                                            .index = name.index,
                                            .run = start.run,
                                            .target = target,
                                            .target_born_ms = kept->second.born_ms,
                                            .unanswered = time_until(start.unanswered_until) > 0,
                                            .late_ms = time_until(start.unanswered_until)});
        this->usage_by_team.add_possible_run(owner->record.team, start.need);
        // A gang starts only when all its tasks wait.
        if (step.waiting_count == 0 || owner->record.spec.steps[name.step].gang)
            this->remove_from_ready(*owner, name.step);
        this->update_waiting_work(*owner);
    }
}

void coordinator::release_held_task(const task_name& name, unresolved_start& start,
                                    std::string_view reason)
{
    if (!std::exchange(start.holds_task, false))
        return;
    this->placements.mark_run_ended(start.batch);
    auto* owner = this->find_workflow(name.workflow);
    if (owner == nullptr)
        return;
    auto& step = owner->steps[name.step];
    auto& task = step.tasks[name.index];
    const bool released = task.current_phase == workflow_task::phase::awaiting_target &&
                          --task.awaited_target_count == 0;
    this->env.log.write("coordinator", "held_task_released",
                        {{"workflow", name.workflow},
                         {"step", name.step},
                         {"index", name.index},
                         {"run", start.run},
                         {"reason", reason},
                         {"waits_for_others", !released}});
    if (!released)
        return;
    task.current_phase = workflow_task::phase::waiting;
    ++step.waiting_count;
    this->usage_by_team.remove_possible_run(owner->record.team, start.need);
    this->add_ready_steps(*owner);
    this->request_scheduling_pass();
}

void coordinator::release_overdue_tasks(milliseconds now)
{
    for (auto& [name, kept] : this->removed_unresolved_starts) {
        for (auto& [task, start] : kept.starts) {
            if (start.holds_task && start.held_until < now)
                this->release_held_task(task, start, "overdue");
        }
    }
    for (auto& [name, target] : this->targets) {
        for (auto& [task, start] : target->unresolved_starts) {
            if (start.holds_task && start.held_until < now)
                this->release_held_task(task, start, "overdue");
        }
    }
}

void coordinator::stop_unresolved_starts(fleet_target& target)
{
    if (target.unresolved_starts.empty() || !target.session->reachable())
        return;
    for (auto& entry : target.unresolved_starts) {
        auto& start = entry.second;
        if (start.stop_in_flight || start.stopped_at.count() != 0)
            continue;
        start.stop_in_flight = true;
        target.session->stop(
            entry.first, start.run,
            [this, &target, task = entry.first, run = start.run](const order_result& result) {
                const auto found = target.unresolved_starts.find(task);
                if (found == target.unresolved_starts.end() || found->second.run != run)
                    return;
                found->second.stop_in_flight = false;
                if (result.how != order_result::outcome::done)
                    return;
                this->env.log.write("coordinator", "late_start_prevented",
                                    {{"workflow", task.workflow},
                                     {"step", task.step},
                                     {"index", task.index},
                                     {"run", run},
                                     {"target", target.report.name}});
                if (found->second.holds_task) {
                    found->second.stopped_at = boot_time();
                    target.session->probe();
                    return;
                }
                // Its task was released when its lease had expired.
                target.unresolved_starts.erase(found);
                if (target.unresolved_starts.empty())
                    this->request_scheduling_pass();
            });
    }
}

void coordinator::resolve_stopped_starts(fleet_target& target, milliseconds sent)
{
    const bool any = !target.unresolved_starts.empty();
    for (auto entry = target.unresolved_starts.begin(); entry != target.unresolved_starts.end();) {
        auto& [task, start] = *entry;
        if (start.stopped_at.count() == 0 || start.stopped_at > sent) {
            ++entry;
            continue;
        }
        // A run that the poll has shown was adopted, and its task is not held any more.
        this->release_held_task(task, start, "polled");
        entry = target.unresolved_starts.erase(entry);
    }
    if (any && target.unresolved_starts.empty())
        this->request_scheduling_pass();
}

} // namespace verbenalever
