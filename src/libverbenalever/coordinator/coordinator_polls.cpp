// What looks at targets show: runs that go on, stand still, were not known, or are gone.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// A run whose percent has not grown for this long, in this many looks, stands still: the longest
/// runs on the users' sheets take 12 s, so that a sound target shows one percent in 120 ms.
constexpr milliseconds stall_time{1200};
constexpr int stalled_looks = 2;
/// The same for a member of a gang, whose stop costs the work of all members.
constexpr milliseconds gang_stall_time{2500};
constexpr double all_done = 100; ///< percent

} // namespace

void coordinator::apply_poll_result(fleet_target& target, const target_view& view,
                                    milliseconds sent)
{
    const auto still_here = this->alive;
    bool news = false;
    for (const auto& end : view.ended)
        news = this->apply_run_end(target, end) || news;
    this->around.count.add(news                 ? "looks_with_ends"
                           : view.ended.empty() ? "looks_without_ends"
                                                : "looks_with_known_ends");
    std::set<task_name> seen;
    for (const auto& row : view.running) {
        seen.insert(row.task);
        this->apply_running_task(target, row);
    }
    this->detect_missing_runs(target, seen, sent);
    if (!*still_here)
        return;
    this->release_tasks_awaiting(target.report.name);
    this->update_polling(target);
    this->update_adoption();
    this->request_pass();
}

void coordinator::apply_running_task(fleet_target& target, const target_view::running_task& row)
{
    const auto found = target.tasks.find(row.task);
    if (found == target.tasks.end()) {
        this->adopt_run(target, row);
        return;
    }
    auto& placed = found->second;
    if (placed.run != row.run) {
        if (row.run < placed.run)
            this->stop_run(target, row.task, row.run);
        return;
    }
    if (!placed.started)
        placed.started_at = boot_time();
    placed.started = true;
    this->detect_stall(target, row, placed);
    if (placed.owner != nullptr && !is_final(placed.owner->state))
        placed.owner->steps[row.task.step].tasks[row.task.index].note_checkpoint(row.checkpoint,
                                                                                 row.run);
}

void coordinator::detect_stall(fleet_target& target, const target_view::running_task& row,
                               placed_run& placed)
{
    const auto now = boot_time();
    if (row.percent > placed.percent || placed.percent_changed_at.count() == 0) {
        placed.percent = row.percent;
        placed.percent_changed_at = now;
        placed.polls_without_progress = 0;
        return;
    }
    ++placed.polls_without_progress;
    if (placed.stopping || placed.owner == nullptr || is_final(placed.owner->state) ||
        placed.polls_without_progress < stalled_looks ||
        now - placed.percent_changed_at < stall_time)
        return;
    // A gang begins and ends together: members that have not begun, or are through, wait for
    // others.
    const bool gang = placed.owner->record.spec.steps[row.task.step].gang;
    if (gang && (placed.percent == 0 || placed.percent >= all_done))
        return;
    target.record_stall(now);
    if (gang && placed.percent_changed_at + gang_stall_time > now)
        return;
    this->around.count.add("runs_stalled");
    this->around.log.write("coordinator", "run_stalled",
                           {{"workflow", row.task.workflow},
                            {"step", row.task.step},
                            {"index", row.task.index},
                            {"run", row.run},
                            {"target", target.report.name},
                            {"percent", placed.percent},
                            {"since_ms", (now - placed.percent_changed_at).count()}});
    this->stop_run(target, row.task, row.run);
}

void coordinator::adopt_run(fleet_target& target, const target_view::running_task& row)
{
    auto* owner = this->find_workflow(row.task.workflow);
    const bool wanted = owner != nullptr && !is_final(owner->state) &&
                        row.task.step < owner->steps.size() &&
                        row.task.index < owner->steps[row.task.step].tasks.size();
    placed_run placed{.run = row.run,
                      .start_sent = true,
                      .started = true,
                      .order_confirmed_at = boot_time(),
                      .last_order_at = boot_time(),
                      .started_at = boot_time(),
                      .percent = row.percent,
                      .percent_changed_at = boot_time()};
    if (!wanted) {
        target.add_run(row.task, placed);
        this->stop_run(target, row.task, row.run);
        return;
    }
    auto& step = owner->steps[row.task.step];
    auto& task = step.tasks[row.task.index];
    placed.owner = owner;
    placed.need = owner->record.spec.steps[row.task.step].need;
    placed.batch =
        this->placements.add({row.task.workflow, row.task.occurrence, row.task.step, row.task.index,
                              row.run, target.report.name, target.report.born_ms});
    target.add_run(row.task, placed);
    this->teams.add_run(owner->record.team, placed.need, owner->urgent());
    ++owner->placed;
    owner->began = true;
    const bool unseen = task.at == workflow_task::phase::unseen;
    const bool duplicate = task.at != workflow_task::phase::waiting && !unseen;
    this->around.log.write("coordinator", duplicate ? "duplicate_seen" : "task_adopted",
                           {{"workflow", row.task.workflow},
                            {"step", row.task.step},
                            {"index", row.task.index},
                            {"run", row.run},
                            {"target", target.report.name}});
    if (duplicate) {
        this->stop_run(target, row.task, row.run);
        return;
    }
    task.at = workflow_task::phase::placed;
    task.target = &target;
    task.run = std::max(task.run, row.run);
    task.note_checkpoint(row.checkpoint, row.run);
    if (unseen)
        this->teams.remove_possible_run(owner->record.team, placed.need);
    else if (--step.waiting == 0)
        this->unlist(*owner, row.task.step);
    if (step.waiting == 0)
        step.clock.enter(step_clock::state::run, boot_time());
}

void coordinator::detect_missing_runs(fleet_target& target, const std::set<task_name>& seen,
                                      milliseconds sent)
{
    std::vector<task_name> missing;
    for (const auto& [task, placed] : target.tasks) {
        // Only an order that was answered before the look was sent must show in it.
        if (placed.order_confirmed_at.count() != 0 && placed.order_confirmed_at < sent &&
            !seen.contains(task))
            missing.push_back(task);
    }
    for (const auto& task : missing)
        this->mark_run_lost(target, task, "not_there");
}

} // namespace verbenalever
