// What a driver makes of what holders tell about its tasks.

#include "jobs/fleet_view.h"
#include "jobs/job_driver.h"
#include "jobs/job_mailbox.h"
#include "jobs/job_services.h"
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

constexpr std::int64_t most_failures = 4; ///< of one task
constexpr milliseconds first_backoff{250};
constexpr milliseconds longest_backoff{8000};
constexpr milliseconds lost_start_delay{200};
constexpr milliseconds service_restart_delay{500};
/// Added to the task lease, for calls under way and clocks that run at different speeds.
constexpr milliseconds lapse_margin{2000};
/// Answers of entries that do not hold a target are put together while they are this fresh.
constexpr milliseconds answer_freshness{5000};
/// Tasks that must have failed for good, with none done, before the rest is not tried.
constexpr std::ptrdiff_t hopeless_failures = 5;
constexpr std::size_t longest_result = 200; ///< bytes

milliseconds backoff_after(std::int64_t failures)
{
    return std::min(longest_backoff, first_backoff * (1 << std::min<std::int64_t>(failures, 10)));
}

bool is_end(std::string_view state)
{
    return state == "succeeded" || state == "failed" || state == "stopped" || state == "lapsed";
}

} // namespace

void job_driver::take_answer(const std::string& from, const reserve_answer& answer)
{
    this->finder.answer(from, answer);
}

void job_driver::take_report(const std::string& from, const task_report& report)
{
    if (this->state != phase::driving)
        return;
    const auto now = monotonic_clock::now();
    std::vector<std::size_t> changed;
    std::vector<task_place> recorded;
    std::vector<task_place> known;
    task_order orphans{.job = this->job.id, .action = "stop", .tasks = {}};
    for (const auto& status : report.tasks) {
        const auto index = this->index_of(status.key.task);
        if (index >= this->job.tasks.size())
            continue;
        const auto& task = this->job.tasks[index];
        const bool same = status.key.attempt == task.attempt;
        const task_place place{.key = status.key, .target = status.target};
        if (same && task.state == "placed") {
            const auto before = changed.size();
            this->take_status(from, status, now, changed);
            if (changed.size() != before && is_end(status.state))
                recorded.push_back(place);
        }
        else if (is_end(status.state) && (!same || this->progress[index].recorded))
            known.push_back(place);
        else if (status.state == "running")
            orphans.tasks.push_back(place);
    }
    if (!known.empty())
        this->services.mailbox.send(
            from, task_order{.job = this->job.id, .action = "forget", .tasks = known});
    if (!orphans.tasks.empty())
        this->services.mailbox.send(from, orphans);
    if (changed.empty())
        return;
    this->give_up_if_hopeless(changed);
    this->save_ends(changed, std::move(recorded));
}

void job_driver::take_status(const std::string& from, const task_status& status, monotonic_time now,
                             std::vector<std::size_t>& changed)
{
    const auto index = this->index_of(status.key.task);
    auto& progress = this->progress[index];
    if (status.state == "not_held")
        return this->take_not_held(from, status, index, now, changed);
    progress.holder = from;
    progress.last_heard = now;
    progress.not_held.clear();
    if (status.progress_ms > 0)
        this->job.tasks[index].progress_ms = status.progress_ms;
    if (status.state == "starting")
        return;
    if (status.state == "running") {
        progress.confirmed = true;
        return;
    }
    this->end_attempt(index, status, now);
    changed.push_back(index);
}

void job_driver::take_not_held(const std::string& from, const task_status& status,
                               std::size_t index, monotonic_time now,
                               std::vector<std::size_t>& changed)
{
    auto& progress = this->progress[index];
    if (progress.holder == from)
        progress.holder.clear();
    progress.not_held[from] = {.heard = now, .idle_ms = status.idle_ms};
    if (!this->surely_lapsed(index, now))
        return;
    this->end_lapsed(index, now);
    changed.push_back(index);
}

/// A task's lease is renewed only by an entry that holds its target. It has surely lapsed once each
/// listed entry of the zone says that it has not renewed there for longer than the lease; a target
/// of a zone without entries, once it has been off the platform's list for as long.
bool job_driver::surely_lapsed(std::size_t index, monotonic_time now) const
{
    const auto& target = this->job.tasks[index].target;
    const auto& not_held = this->progress[index].not_held;
    const auto lapse = this->services.settings.task_lease + lapse_margin;
    const auto entries = this->services.fleet.entries_of(this->services.fleet.zone_of(target));
    if (entries.empty()) {
        const auto gone = this->services.fleet.gone_since(target);
        return gone < now && now - gone > lapse;
    }
    return std::ranges::all_of(entries, [&](const std::string& entry) {
        const auto found = not_held.find(entry);
        return found != not_held.end() && now - found->second.heard < answer_freshness &&
               milliseconds(found->second.idle_ms) > lapse;
    });
}

void job_driver::end_lapsed(std::size_t index, monotonic_time now)
{
    const auto& task = this->job.tasks[index];
    this->services.log.write("jobs", "task_surely_lapsed",
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
    this->progress[index].recorded = false;
    task.result = status.result.substr(0, longest_result);
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
        return this->start_again(index, service_restart_delay, now);
    if (status.state == "failed")
        return this->count_failure(index, status, now);
    if (status.state != "refused" && !this->job.repeatable) {
        task.state = "unknown";
        task.result = "it may have run, in whole or in part";
        return;
    }
    this->start_again(index, lost_start_delay, now);
}

void job_driver::count_failure(std::size_t index, const task_status& status, monotonic_time now)
{
    auto& task = this->job.tasks[index];
    ++task.failures;
    if (this->job.repeatable && task.failures < most_failures)
        return this->start_again(index, backoff_after(task.failures), now);
    task.state = "failed";
    if (this->job.reason.empty())
        this->job.reason = fmt::format("task {} failed {} times, last on {}: {}", index,
                                       task.failures, status.target, task.result);
}

void job_driver::start_again(std::size_t index, milliseconds delay, monotonic_time now)
{
    this->job.tasks[index].state = "pending";
    this->progress[index].retry_after = now + delay;
    this->progress[index].confirmed = false;
}

void job_driver::give_up_if_hopeless(std::vector<std::size_t>& changed)
{
    const auto count = [this](std::string_view state) {
        return std::ranges::count(this->job.tasks, state, &job_task::state);
    };
    if (count("done") > 0 || count("failed") < hopeless_failures)
        return;
    for (std::size_t i = 0; i < this->job.tasks.size(); ++i) {
        auto& task = this->job.tasks[i];
        if (task.state != "pending")
            continue;
        task.state = "failed";
        task.result = "not tried again: the job's tasks fail everywhere";
        changed.push_back(i);
    }
}

void job_driver::save_ends(const std::vector<std::size_t>& changed,
                           std::vector<task_place> recorded)
{
    auto saved = changed;
    // With one page the job's end goes into the same write; otherwise it follows the last page.
    const bool ends_now = this->job.all_ended() && this->job.pages() == 1;
    if (ends_now)
        this->mark_finished();
    if (ends_now || !this->job.reason.empty())
        saved.push_back(0);
    // Not job.finished: a later save may have set it in memory while this one was being written.
    this->pages.save(saved, [this, ends_now, changed, recorded = std::move(recorded)] {
        for (const auto index : changed)
            this->progress[index].recorded = this->job.tasks[index].state != "placed";
        this->forget(recorded);
        if (ends_now)
            return this->record_end();
        if (this->job.pages() == 1 || !this->job.all_ended())
            return;
        this->pages.save_all([this] {
            if (this->job.finished)
                return;
            this->mark_finished();
            this->pages.save({}, [this] { this->record_end(); });
        });
    });
}

void job_driver::forget(const std::vector<task_place>& recorded)
{
    std::map<std::string, task_order> orders;
    for (const auto& place : recorded) {
        const auto index = this->index_of(place.key.task);
        if (this->job.tasks[index].state == "done")
            this->services.log.write("jobs", "task_done_recorded",
                                     {{"task", place.key.task}, {"target", place.target}});
        orders[this->progress[index].holder].tasks.push_back(place);
    }
    for (auto& [holder, order] : orders) {
        order.job = this->job.id;
        order.action = "forget";
        this->services.mailbox.send(holder, order);
    }
}

} // namespace verbenalever
