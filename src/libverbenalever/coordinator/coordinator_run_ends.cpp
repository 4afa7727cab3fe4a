// Handles ended and lost runs: marks tasks done, runs them again, and ends workflows.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace verbenalever {

namespace {

/// A step that failed on a target does not use it for this long. If no other target has been found
/// by then, there is none.
constexpr milliseconds failed_target_backoff{1500};

std::string_view ending_name(target_view::ending how)
{
    switch (how) {
    case target_view::ending::done:
        return "done";
    case target_view::ending::failed:
        return "failed";
    case target_view::ending::stopped:
        return "stopped";
    case target_view::ending::lapsed:
        return "lapsed";
    case target_view::ending::broken:
        return "broken";
    case target_view::ending::alone:
        return "alone";
    case target_view::ending::unrecognised:
        return "unrecognised";
    }
    return "unrecognised";
}

progress_entry progress_entry_of(const target_view::ended_task& end)
{
    auto how = progress_entry::ending::other;
    if (end.how == target_view::ending::done)
        how = progress_entry::ending::done;
    else if (end.how == target_view::ending::failed)
        how = progress_entry::ending::failed;
    return {.workflow = end.task.workflow,
            .step = end.task.step,
            .index = end.task.index,
            .run = end.run,
            .how = static_cast<int>(how),
            .checkpoint = end.checkpoint};
}

std::string describe_failures(const task_name& task, const std::vector<std::int64_t>& failed_runs)
{
    return fmt::format("step {} task {} has failed in runs {}", task.step, task.index,
                       fmt::join(failed_runs, ", "));
}

} // namespace

bool coordinator::apply_run_end(fleet_target& target, const target_view::ended_task& end)
{
    if (!target.add_end(end.number))
        return false;
    target.session->wait_for_stored_end();
    const auto found = target.tasks.find(end.task);
    const bool current = found != target.tasks.end() && found->second.run == end.run;
    if (current && end.how == target_view::ending::done)
        this->learn_run_length(found->second, end.task);
    else if (current && end.how == target_view::ending::stopped &&
             found->second.preempted_at.count() != 0)
        this->stops_to_avoid.learn_stop(boot_time() - found->second.preempted_at);
    const bool was_tracked = current && this->remove_run(target, end.task);
    auto* owner = this->find_workflow(end.task.workflow);
    const bool workflow_open = owner != nullptr && !is_final(owner->state) &&
                               end.task.step < owner->steps.size() &&
                               end.task.index < owner->steps[end.task.step].tasks.size();
    if (end.how != target_view::ending::done && end.how != target_view::ending::stopped)
        this->env.log.write("coordinator", "run_ended",
                            {{"workflow", end.task.workflow},
                             {"step", end.task.step},
                             {"index", end.task.index},
                             {"run", end.run},
                             {"how", ending_name(end.how)},
                             {"target", target.report.name}});
    bool changed = false;
    if (workflow_open) {
        owner->has_started = true;
        auto& task = owner->steps[end.task.step].tasks[end.task.index];
        task.update_checkpoint(end.checkpoint, end.run);
        if (end.how == target_view::ending::done) {
            target.record_success();
            changed = this->mark_task_done(*owner, end.task, end.run);
        }
        else {
            if (end.how == target_view::ending::failed) {
                target.record_failure(boot_time());
                owner->steps[end.task.step].avoided_until[target.report.name] =
                    boot_time() + failed_target_backoff;
                changed = this->count_failed_run(*owner, end.task, end.run);
            }
            // The end of a duplicate run does not affect the run that is placed on another target.
            const bool placed_here = task.target == &target;
            if (was_tracked && placed_here && !is_final(owner->state)) {
                owner->steps[end.task.step].time_tracker.mark_run_unsuccessful();
                this->requeue_task(*owner, end.task);
                if (owner->record.spec.steps[end.task.step].gang)
                    this->stop_step(*owner, end.task.step);
            }
        }
    }
    const auto mark_stored = [this, name = target.report.name, born_ms = target.report.born_ms,
                              number = end.number] {
        this->mark_end_stored(name, born_ms, number);
    };
    // An end is acknowledged once its effects are stored. One that changed nothing may repeat
    // another whose effects are not stored yet.
    const bool is_task_result =
        end.how == target_view::ending::done || end.how == target_view::ending::failed;
    const bool has_checkpoint = workflow_open && !end.checkpoint.empty();
    if (owner == nullptr || owner->end_stored || (!changed && !is_task_result && !has_checkpoint))
        mark_stored();
    else if (is_final(owner->state))
        owner->actions_after_end_stored.push_back(mark_stored);
    else
        this->progress.add(progress_entry_of(end), mark_stored);
    return true;
}

void coordinator::learn_run_length(const placed_run& placed, const task_name& task)
{
    if (placed.owner == nullptr || !placed.started || is_final(placed.owner->state))
        return;
    const auto& record = placed.owner->record;
    const auto& step = record.spec.steps[task.step];
    // All members of a gang run equally long: the first one is counted.
    if (step.gang && task.index != 0)
        return;
    this->run_length_models[record.queue].learn(milliseconds(step.estimated_ms),
                                                boot_time() - placed.started_at);
}

void coordinator::mark_end_stored(const std::string& name, std::int64_t born_ms,
                                  std::int64_t number)
{
    if (auto* target = this->find_target(name, born_ms)) {
        const auto stored_up_to = target->mark_end_stored(number);
        target->session->acknowledge_ends(stored_up_to, !target->has_unstored_ends());
    }
}

fleet_target* coordinator::find_target(const std::string& target, std::int64_t born_ms)
{
    const auto found = this->targets.find(target);
    if (found == this->targets.end() || found->second->report.born_ms != born_ms)
        return nullptr;
    return found->second.get();
}

bool coordinator::mark_task_done(workflow& owner, const task_name& name, std::int64_t run)
{
    auto& step = owner.steps[name.step];
    const auto& spec = owner.record.spec.steps[name.step];
    const auto mark_done = [&](std::uint32_t index) {
        auto& task = step.tasks[index];
        if (task.current_phase == workflow_task::phase::done)
            return false;
        if (task.current_phase == workflow_task::phase::waiting)
            --step.waiting_count;
        else if (task.current_phase == workflow_task::phase::awaiting_target)
            this->usage_by_team.remove_possible_run(owner.record.team, spec.need);
        task.current_phase = workflow_task::phase::done;
        ++step.done_count;
        auto* placed_on = std::exchange(task.target, nullptr);
        if (placed_on == nullptr)
            return true;
        // The task is done while another run of it is placed on a target: that one is stopped. Gang
        // members of the same run are not: their targets report their ends.
        const task_name other{name.workflow, name.occurrence, name.step, index};
        if (const auto found = placed_on->tasks.find(other);
            found != placed_on->tasks.end() && (index == name.index || found->second.run != run))
            this->stop_run(*placed_on, other, found->second.run);
        return true;
    };
    bool changed = mark_done(name.index);
    // The tasks of a gang end together: the end of one completes all.
    for (std::uint32_t index = 0; spec.gang && index < step.tasks.size(); ++index)
        changed = mark_done(index) || changed;
    if (!changed)
        return false;
    if (step.waiting_count == 0)
        this->remove_from_ready(owner, name.step);
    this->update_waiting_work(owner);
    if (step.done_count < step.tasks.size())
        return true;
    step.time_tracker.enter(step_time_tracker::state::idle, boot_time());
    bool all_done = true;
    for (const auto& other : owner.steps)
        all_done = all_done && other.done_count == other.tasks.size();
    if (all_done)
        this->end_workflow(owner, workflow_state::completed);
    else
        this->add_ready_steps(owner);
    return true;
}

bool coordinator::count_failed_run(workflow& owner, const task_name& name, std::int64_t run)
{
    auto& step = owner.steps[name.step];
    const bool gang = owner.record.spec.steps[name.step].gang;
    auto& task = gang ? step.tasks[0] : step.tasks[name.index];
    if (step.tasks[name.index].current_phase == workflow_task::phase::done)
        return false;
    // Each member of a gang reports the failed run, and an earlier coordinator may have counted it.
    if (std::ranges::find(task.failed_runs, run) != task.failed_runs.end())
        return false;
    task.failed_runs.push_back(run);
    step.failures_seen = true;
    if (has_used_attempts(owner, name.step, name.index))
        this->fail_workflow(owner, describe_failures(name, task.failed_runs));
    return true;
}

bool coordinator::remove_run(fleet_target& target, const task_name& task)
{
    const auto found = target.tasks.find(task);
    if (found == target.tasks.end())
        return false;
    auto* owner = found->second.owner;
    if (owner != nullptr) {
        this->placements.mark_run_ended(found->second.batch);
        this->placements.mark_run_ended(found->second.unanswered_batch);
        this->uncount_run(*owner, found->second.need);
        --owner->placed_count;
    }
    target.remove_run(task);
    return owner != nullptr;
}

void coordinator::requeue_task(workflow& owner, const task_name& name)
{
    auto& step = owner.steps[name.step];
    auto& task = step.tasks[name.index];
    if (task.current_phase != workflow_task::phase::placed)
        return;
    task.current_phase = workflow_task::phase::waiting;
    task.target = nullptr;
    ++step.waiting_count;
    this->add_ready_steps(owner);
    this->request_scheduling_pass();
}

void coordinator::mark_run_lost(fleet_target& target, const task_name& name,
                                std::string_view reason)
{
    const auto found = target.tasks.find(name);
    auto* owner = found->second.owner;
    const auto run = found->second.run;
    this->env.log.write("coordinator", "run_lost",
                        {{"workflow", name.workflow},
                         {"step", name.step},
                         {"index", name.index},
                         {"run", run},
                         {"target", target.report.name},
                         {"reason", reason},
                         {"listed", found->second.listed},
                         {"unanswered", found->second.unanswered_until.count() != 0}});
    this->remove_run(target, name);
    if (owner == nullptr)
        return;
    auto& task = owner->steps[name.step].tasks[name.index];
    if (task.target != &target)
        return;
    if (is_final(owner->state)) {
        task.target = nullptr;
        return;
    }
    owner->steps[name.step].time_tracker.mark_run_unsuccessful();
    this->requeue_task(*owner, name);
    if (owner->record.spec.steps[name.step].gang)
        this->stop_step(*owner, name.step);
}

void coordinator::stop_step(workflow& owner, std::uint32_t number)
{
    auto& step = owner.steps[number];
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        auto& task = step.tasks[index];
        if (task.current_phase != workflow_task::phase::placed || task.target == nullptr)
            continue;
        const task_name name{owner.record.id, 0, number, index};
        const auto found = task.target->tasks.find(name);
        if (found != task.target->tasks.end() && !found->second.stopping)
            this->stop_run(*task.target, name, found->second.run);
    }
}

void coordinator::end_workflow(workflow& owner, workflow_state state)
{
    owner.state = state;
    owner.record.state = static_cast<int>(state);
    owner.record.ended_ms = wall_microseconds() / 1000;
    for (std::uint32_t step = 0; step < owner.steps.size(); ++step)
        this->remove_from_ready(owner, step);
    for (auto& step : owner.steps) {
        this->release_reservation(step);
        step.advice.clear(); // as large as the fleet, and the workflow stays known for minutes
    }
    for (auto& step : owner.steps)
        step.time_tracker.enter(step_time_tracker::state::idle, boot_time());
    owner.ended_at = boot_time();
    this->update_waiting_work(owner);
    this->stop_workflow(owner);
    owner.record.spec = {};
    this->env.metrics.add(state == workflow_state::completed ? "workflows_completed"
                                                             : "workflows_not_completed");
    this->store_record(owner, [this, id = owner.record.id] { this->handle_end_stored(id); });
}

void coordinator::fail_workflow(workflow& owner, std::string reason)
{
    this->env.log.write("coordinator", "workflow_failed",
                        {{"workflow", owner.record.id},
                         {"queue", owner.record.queue},
                         {"team", owner.record.team},
                         {"reason", reason}});
    owner.record.reason = std::move(reason);
    this->end_workflow(owner, workflow_state::failed);
}

void coordinator::handle_end_stored(const std::string& id)
{
    auto* stored_workflow = this->find_workflow(id);
    if (stored_workflow == nullptr)
        return;
    stored_workflow->end_stored = true;
    if (stored_workflow->record.submitted())
        this->log_workflow_end(*stored_workflow);
    this->progress.remove_workflow(id);
    const auto ends = std::move(stored_workflow->actions_after_end_stored);
    stored_workflow->actions_after_end_stored.clear();
    for (const auto& record : ends)
        record();
    const auto outcome =
        stored_workflow->record.submitted() ? call_outcome::accepted : call_outcome::not_found;
    const auto waiters = std::move(stored_workflow->replies_after_end_stored);
    stored_workflow->replies_after_end_stored.clear();
    for (const auto number : waiters)
        this->send_reply(number, outcome);
}

void coordinator::stop_workflow(workflow& owner)
{
    for (std::uint32_t number = 0; number < owner.steps.size(); ++number)
        this->stop_step(owner, number);
}

} // namespace verbenalever
