// Applies the results of polls: progress, stalled runs, runs of earlier coordinators, missing runs.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// A run whose percent has not grown for this long and in this many polls is stalled, unless it is
/// so long that a sound target may not show the next percent sooner, see stall_time_of().
constexpr milliseconds min_stall_time{1200};
constexpr int stalled_polls = 2;
/// Stall time of a member of a gang: longer, since its stop loses the work of all members.
constexpr milliseconds min_gang_stall_time{2500};
/// Targets report whole percents. A run may take this many times as long as expected for each.
constexpr int percent_time_factor = 3;
/// After so many runs of a step have stalled the next ones get twice as long each time: the tasks
/// may take much longer than estimated.
constexpr int stalls_before_doubling = 1;
constexpr int max_doublings = 10;
constexpr double complete_percent = 100; ///< percent

} // namespace

void coordinator::apply_poll_result(fleet_target& target, const target_view& view,
                                    milliseconds sent)
{
    const auto coordinator_alive = this->alive;
    this->silent_zones.record_answer(target.report.availability_zone, boot_time());
    this->record_answer(target);
    bool any_new_end = false;
    for (const auto& end : view.ended)
        any_new_end = this->apply_run_end(target, end) || any_new_end;
    this->env.metrics.add(any_new_end          ? "looks_with_ends"
                          : view.ended.empty() ? "looks_without_ends"
                                               : "looks_with_known_ends");
    std::set<task_name> reported_tasks;
    for (const auto& reported : view.running) {
        reported_tasks.insert(reported.task);
        this->apply_running_task(target, reported);
    }
    // A run that is not listed may have ended: its end may be among those that did not fit.
    if (!view.more_ends)
        this->detect_missing_runs(target, reported_tasks, sent);
    if (!*coordinator_alive)
        return;
    this->resolve_stopped_starts(target, sent);
    // An end that did not fit into the answer may be that of an awaited placement.
    if (!view.more_ends)
        this->end_wait_for_poll(target.report.name);
    this->update_polling(target);
    // Its cost grows with the awaited targets; while there are any, check_targets() calls it.
    if (this->awaited_placements.empty())
        this->update_adoption();
    this->request_scheduling_pass();
}

void coordinator::apply_running_task(fleet_target& target,
                                     const target_view::running_task& reported)
{
    const auto found = target.tasks.find(reported.task);
    if (found == target.tasks.end()) {
        this->adopt_run(target, reported);
        return;
    }
    auto& placed = found->second;
    if (placed.run != reported.run) {
        if (reported.run < placed.run)
            this->stop_run(target, reported.task, reported.run);
        return;
    }
    placed.listed = true;
    if (!placed.started) {
        placed.started = true;
        placed.started_at = boot_time();
        update_isolation(target, placed);
        // Its start was not confirmed when the workflow ended, so that it was not stopped then.
        const bool workflow_over = placed.owner == nullptr || is_final(placed.owner->state);
        if (workflow_over && !placed.stopping) {
            this->stop_run(target, reported.task, reported.run);
            return;
        }
    }
    this->discount_crashes(reported.task, placed);
    this->detect_stall(target, reported, placed);
    if (placed.owner != nullptr && !is_final(placed.owner->state))
        placed.owner->steps[reported.task.step].tasks[reported.task.index].update_checkpoint(
            reported.checkpoint, reported.run);
}

void coordinator::detect_stall(fleet_target& target, const target_view::running_task& reported,
                               placed_run& placed)
{
    const auto now = boot_time();
    if (reported.percent > placed.percent || placed.percent_changed_at.count() == 0) {
        placed.percent = reported.percent;
        placed.percent_changed_at = now;
        placed.polls_without_progress = 0;
        return;
    }
    ++placed.polls_without_progress;
    if (placed.stopping || placed.owner == nullptr || is_final(placed.owner->state) ||
        placed.polls_without_progress < stalled_polls ||
        now - placed.percent_changed_at < min_stall_time)
        return;
    // The tasks of a gang start and end together: one at 0 or 100 percent waits for the others.
    const bool gang = placed.owner->record.spec.steps[reported.task.step].gang;
    if (gang && (placed.percent == 0 || placed.percent >= complete_percent))
        return;
    auto& owner = *placed.owner;
    if (placed.percent_changed_at + this->stall_time_of(owner, reported.task.step, false) > now)
        return;
    target.record_stall(now);
    if (gang &&
        placed.percent_changed_at + this->stall_time_of(owner, reported.task.step, true) > now)
        return;
    ++owner.steps[reported.task.step].stalled_runs;
    this->env.metrics.add("runs_stalled");
    this->env.log.write("coordinator", "run_stalled",
                        {{"workflow", reported.task.workflow},
                         {"step", reported.task.step},
                         {"index", reported.task.index},
                         {"run", reported.run},
                         {"target", target.report.name},
                         {"percent", placed.percent},
                         {"since_ms", (now - placed.percent_changed_at).count()}});
    this->stop_run(target, reported.task, reported.run);
}

milliseconds coordinator::stall_time_of(const workflow& owner, std::uint32_t step_index,
                                        bool gang) const
{
    const milliseconds estimated(owner.record.spec.steps[step_index].estimated_ms);
    const auto model = this->run_length_models.find(owner.record.queue);
    const auto expected =
        model == this->run_length_models.end() ? estimated : model->second.predict(estimated);
    const auto percent_time = std::max(estimated, expected) / 100;
    const auto doublings =
        std::clamp(owner.steps[step_index].stalled_runs - stalls_before_doubling, 0, max_doublings);
    return std::max(gang ? min_gang_stall_time : min_stall_time,
                    percent_time * percent_time_factor) *
           (1 << doublings);
}

void coordinator::adopt_run(fleet_target& target, const target_view::running_task& reported)
{
    auto* owner = this->find_workflow(reported.task.workflow);
    const bool needed = owner != nullptr && !is_final(owner->state) &&
                        reported.task.step < owner->steps.size() &&
                        reported.task.index < owner->steps[reported.task.step].tasks.size();
    placed_run placed{.run = reported.run,
                      .start_sent = true,
                      .started = true,
                      .listed = true,
                      .adopted = true,
                      .order_confirmed_at = boot_time(),
                      .last_order_at = boot_time(),
                      .started_at = boot_time(),
                      .percent = reported.percent,
                      .percent_changed_at = boot_time()};
    if (!needed) {
        target.add_run(reported.task, placed);
        this->stop_run(target, reported.task, reported.run);
        return;
    }
    auto& step = owner->steps[reported.task.step];
    auto& task = step.tasks[reported.task.index];
    placed.owner = owner;
    placed.need = owner->record.spec.steps[reported.task.step].need;
    placed.batch = this->placements.add({reported.task.workflow, reported.task.occurrence,
                                         reported.task.step, reported.task.index, reported.run,
                                         target.report.name, target.report.born_ms});
    target.add_run(reported.task, placed);
    this->count_run(*owner, placed.need);
    ++owner->placed_count;
    owner->has_started = true;
    const bool unseen = task.current_phase == workflow_task::phase::awaiting_target;
    const bool duplicate = task.current_phase != workflow_task::phase::waiting && !unseen;
    this->env.log.write("coordinator", duplicate ? "duplicate_seen" : "task_adopted",
                        {{"workflow", reported.task.workflow},
                         {"step", reported.task.step},
                         {"index", reported.task.index},
                         {"run", reported.run},
                         {"target", target.report.name},
                         {"placed_run", task.run},
                         {"placed_on", task.target == nullptr ? "" : task.target->report.name}});
    if (duplicate) {
        this->stop_run(target, reported.task, reported.run);
        return;
    }
    task.current_phase = workflow_task::phase::placed;
    task.target = &target;
    task.run = std::max(task.run, reported.run);
    task.update_checkpoint(reported.checkpoint, reported.run);
    if (unseen)
        this->usage_by_team.remove_possible_run(owner->record.team, placed.need);
    else if (--step.waiting_count == 0)
        this->remove_from_ready(*owner, reported.task.step);
    this->update_waiting_work(*owner);
    if (step.waiting_count == 0)
        step.time_tracker.enter(step_time_tracker::state::run, boot_time());
}

void coordinator::detect_missing_runs(fleet_target& target,
                                      const std::set<task_name>& reported_tasks, milliseconds sent)
{
    std::vector<task_name> missing;
    for (const auto& [task, placed] : target.tasks) {
        // A poll must show a run only if its order was confirmed before the poll was sent.
        if (placed.order_confirmed_at.count() != 0 && placed.order_confirmed_at < sent &&
            !reported_tasks.contains(task))
            missing.push_back(task);
    }
    for (const auto& task : missing)
        this->mark_run_lost(target, task, "not_there");
}

} // namespace verbenalever
