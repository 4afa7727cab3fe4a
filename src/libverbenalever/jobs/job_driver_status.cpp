// The part of job_driver that applies the status of tasks as reported by other entry daemons.

#include "jobs/fleet_view.h"
#include "jobs/job_context.h"
#include "jobs/job_driver.h"
#include "jobs/job_messenger.h"
#include "jobs/reserve_answer.h"
#include "jobs/task_order.h"
#include "jobs/task_report.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

constexpr std::int64_t max_failures = 4; ///< of one task, after which it is not run again
constexpr milliseconds first_backoff{250};
constexpr milliseconds max_backoff{8000};
constexpr milliseconds lost_attempt_restart_delay{200};
constexpr milliseconds service_restart_delay{500};
/// Added to the task lease, for calls in flight and clocks that run at different speeds.
constexpr milliseconds lease_expiry_margin{2000};
/// Older "not_held" answers are ignored when it is decided whether a task's lease has expired.
constexpr milliseconds max_answer_age{5000};
/// If no task is done and this many have failed finally, the pending tasks are failed too.
constexpr std::ptrdiff_t min_hopeless_failures = 5;
constexpr std::size_t max_result_bytes = 200;

milliseconds failure_backoff(std::int64_t failures)
{
    return std::min(max_backoff, first_backoff * (1 << std::min<std::int64_t>(failures, 10)));
}

bool is_end_state(std::string_view state)
{
    return state == "succeeded" || state == "failed" || state == "stopped" || state == "lapsed";
}

} // namespace

void job_driver::apply_reserve_answer(const std::string& from, const reserve_answer& answer)
{
    this->finder.apply_answer(from, answer);
}

void job_driver::apply_report(const std::string& from, const task_report& report)
{
    if (this->state != phase::driving)
        return;
    const auto now = monotonic_clock::now();
    std::vector<std::size_t> changed;
    std::vector<task_place> forgettable;
    std::vector<task_place> already_stored;
    task_order superseded{.job = this->job.id, .action = "stop", .tasks = {}};
    for (const auto& status : report.tasks) {
        const auto index = this->index_of(status.key.task);
        if (index >= this->job.tasks.size())
            continue;
        const auto& task = this->job.tasks[index];
        const bool is_current = status.key.attempt == task.attempt;
        const task_place place{.key = status.key, .target = status.target};
        if (is_current && task.state == "placed") {
            const auto before = changed.size();
            this->apply_status(from, status, now, changed);
            if (changed.size() != before && is_end_state(status.state))
                forgettable.push_back(place);
        }
        else if (is_end_state(status.state) && (!is_current || this->live_states[index].end_stored))
            already_stored.push_back(place);
        else if (status.state == "running")
            superseded.tasks.push_back(place);
    }
    if (!already_stored.empty())
        this->context.messenger.send(
            from, task_order{.job = this->job.id, .action = "forget", .tasks = already_stored});
    if (!superseded.tasks.empty())
        this->context.messenger.send(from, superseded);
    if (changed.empty())
        return;
    this->fail_pending_if_hopeless(changed);
    this->store_changes(changed, std::move(forgettable));
}

void job_driver::apply_status(const std::string& from, const task_status& status,
                              monotonic_time now, std::vector<std::size_t>& changed)
{
    const auto index = this->index_of(status.key.task);
    auto& live_state = this->live_states[index];
    if (status.state == "not_held")
        return this->apply_not_held(from, status, index, now, changed);
    live_state.holder = from;
    live_state.last_status_at = now;
    live_state.not_held_answers.clear();
    if (status.progress_ms > 0)
        this->job.tasks[index].progress_ms = status.progress_ms;
    if (status.state == "starting")
        return;
    if (status.state == "running") {
        live_state.running_confirmed = true;
        return;
    }
    this->end_attempt(index, status, now);
    changed.push_back(index);
}

void job_driver::apply_not_held(const std::string& from, const task_status& status,
                                std::size_t index, monotonic_time now,
                                std::vector<std::size_t>& changed)
{
    auto& live_state = this->live_states[index];
    if (live_state.holder == from)
        live_state.holder.clear();
    live_state.not_held_answers[from] = {.received_at = now, .idle_ms = status.idle_ms};
    if (!this->task_lease_expired(index, now))
        return;
    this->end_expired_attempt(index, now);
    changed.push_back(index);
}

/// Only an entry daemon that holds the target's lease renews the leases of tasks there. A task
/// lease has certainly expired once every listed entry daemon of the target's zone has recently
/// answered that it sent no renewal or start there for longer than the task lease. In a zone
/// without entry daemons, it has expired once the target has been off the platform's list for that
/// long.
bool job_driver::task_lease_expired(std::size_t index, monotonic_time now) const
{
    const auto& target = this->job.tasks[index].target;
    const auto& not_held_answers = this->live_states[index].not_held_answers;
    const auto expiry_time = this->context.settings.task_lease + lease_expiry_margin;
    const auto entries = this->context.fleet.entries_in_zone(this->context.fleet.zone_of(target));
    if (entries.empty()) {
        const auto removed_at = this->context.fleet.left_list_at(target);
        return removed_at < now && now - removed_at > expiry_time;
    }
    return std::ranges::all_of(entries, [&](const std::string& entry) {
        const auto found = not_held_answers.find(entry);
        return found != not_held_answers.end() &&
               now - found->second.received_at < max_answer_age &&
               milliseconds(found->second.idle_ms) > expiry_time;
    });
}

void job_driver::end_expired_attempt(std::size_t index, monotonic_time now)
{
    const auto& task = this->job.tasks[index];
    this->context.log.write("jobs", "task_surely_lapsed",
                            {{"task", this->task_id(index)}, {"target", task.target}});
    this->end_attempt(index,
                      {.key = {.task = this->task_id(index), .attempt = task.attempt},
                       .target = task.target,
                       .state = "lapsed"},
                      now);
}

void job_driver::end_attempt(std::size_t index, const task_status& status, monotonic_time now)
{
    auto& task = this->job.tasks[index];
    this->live_states[index].end_stored = false;
    task.result = status.result.substr(0, max_result_bytes);
    const bool succeeded = status.state == "succeeded";
    if (succeeded && !this->job.service) {
        task.state = "done";
        return;
    }
    if (this->job.cancelled) {
        task.state = "cancelled";
        return;
    }
    if (this->job.service)
        return this->schedule_restart(index, service_restart_delay, now);
    if (status.state == "failed")
        return this->record_failure(index, status, now);
    if (status.state != "refused" && !this->job.repeatable) {
        task.state = "unknown";
        task.result = "it may have run, in whole or in part";
        return;
    }
    this->schedule_restart(index, lost_attempt_restart_delay, now);
}

void job_driver::record_failure(std::size_t index, const task_status& status, monotonic_time now)
{
    auto& task = this->job.tasks[index];
    ++task.failures;
    if (this->job.repeatable && task.failures < max_failures)
        return this->schedule_restart(index, failure_backoff(task.failures), now);
    task.state = "failed";
    if (this->job.reason.empty())
        this->job.reason = fmt::format("task {} failed {} times, last on {}: {}", index,
                                       task.failures, status.target, task.result);
}

void job_driver::schedule_restart(std::size_t index, milliseconds delay, monotonic_time now)
{
    this->job.tasks[index].state = "pending";
    this->live_states[index].earliest_start = now + delay;
    this->live_states[index].running_confirmed = false;
}

void job_driver::fail_pending_if_hopeless(std::vector<std::size_t>& changed)
{
    const auto count = [this](std::string_view state) {
        return std::ranges::count(this->job.tasks, state, &job_task::state);
    };
    if (count("done") > 0 || count("failed") < min_hopeless_failures)
        return;
    for (std::size_t i = 0; i < this->job.tasks.size(); ++i) {
        auto& task = this->job.tasks[i];
        if (task.state != "pending")
            continue;
        task.state = "failed";
        task.result = "no further start: too many tasks of the job failed and none succeeded";
        changed.push_back(i);
    }
}

void job_driver::store_changes(const std::vector<std::size_t>& changed,
                               std::vector<task_place> forgettable)
{
    auto tasks_to_save = changed;
    // With one page the job's end is part of the same write; with more pages it is written after
    // all of them.
    const bool ends_now = this->job.all_ended() && this->job.pages() == 1;
    if (ends_now)
        this->mark_finished();
    // Task 0 is on the first page, which also has the job's reason and whether it is finished.
    if (ends_now || !this->job.reason.empty())
        tasks_to_save.push_back(0);
    // Not job.finished: a later save may have set it in memory while this one was in flight.
    this->pages.save(
        tasks_to_save, [this, ends_now, changed, forgettable = std::move(forgettable)] {
            for (const auto index : changed)
                this->live_states[index].end_stored = this->job.tasks[index].state != "placed";
            this->send_forget_orders(forgettable);
            if (ends_now)
                return this->report_finished();
            if (this->job.pages() == 1 || !this->job.all_ended())
                return;
            this->pages.save_all([this] {
                if (this->job.finished)
                    return;
                this->mark_finished();
                this->pages.save({}, [this] { this->report_finished(); });
            });
        });
}

void job_driver::send_forget_orders(const std::vector<task_place>& forgettable)
{
    std::map<std::string, task_order> orders;
    for (const auto& place : forgettable) {
        const auto index = this->index_of(place.key.task);
        if (this->job.tasks[index].state == "done")
            this->context.log.write("jobs", "task_done_recorded",
                                    {{"task", place.key.task}, {"target", place.target}});
        orders[this->live_states[index].holder].tasks.push_back(place);
    }
    for (auto& [holder, order] : orders) {
        order.job = this->job.id;
        order.action = "forget";
        this->context.messenger.send(holder, order);
    }
}

} // namespace verbenalever
