// The part of target_task_manager that polls inventories and applies them.

#include "jobs/job_lookup.h"
#include "jobs/job_messenger.h"
#include "jobs/job_record.h"
#include "jobs/target_task_manager.h"
#include "store/kv_client.h"
#include "targets/target_client.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <charconv>

namespace verbenalever {

namespace {

constexpr milliseconds busy_poll_interval{500};
/// Without tasks a poll only corrects errors in the known state.
constexpr milliseconds idle_poll_interval{20000};
constexpr milliseconds end_report_interval{2000};
/// When no driver has had an ended task forgotten for this long, the job's record is read.
constexpr milliseconds unacknowledged_timeout{20000};
constexpr int renewals_per_lease = 4;
constexpr milliseconds driver_cleanup_interval{30000};

std::string job_of(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

void target_task_manager::tick()
{
    const auto now = monotonic_clock::now();
    this->expire_reservations(now);
    this->remove_idle_drivers(now);
    const auto start_pending = this->targets_with_unanswered_starts();
    for (auto& [name, target] : this->registry.all()) {
        auto& state = this->targets[name];
        if (!target.lease_held(now)) {
            this->report_lost_lease(name, state);
            continue;
        }
        if (state.epoch != target.lease_epoch) {
            state.inventory_known = false; // until an inventory is read under this lease
            continue;
        }
        const bool idle = state.tasks.empty() && !start_pending.contains(name);
        const auto interval = idle ? idle_poll_interval : busy_poll_interval;
        // The lease manager reads the first inventory and sets the reservations from it.
        if (target.inventory_known && !state.poll_in_flight && now - state.last_poll >= interval)
            this->poll_inventory(target, state);
    }
}

std::set<std::string_view> target_task_manager::targets_with_unanswered_starts() const
{
    std::set<std::string_view> names;
    for (const auto& [key, reserved] : this->reservations) {
        if (reserved.start_sent)
            names.insert(reserved.target);
    }
    return names;
}

/// Reports running tasks as "not_held", so that their drivers query the other entry daemons at
/// once.
void target_task_manager::report_lost_lease(const std::string& target, observed_target& state)
{
    if (!state.inventory_known)
        return;
    state.inventory_known = false;
    std::map<std::string, task_report> reports;
    for (const auto& [task, observed] : state.tasks) {
        if (observed.inventory_entry.running())
            reports[job_of(task)].tasks.push_back(
                this->status_of({.key = {.task = task, .attempt = observed.inventory_entry.attempt},
                                 .target = target}));
    }
    this->send_reports(std::move(reports));
}

void target_task_manager::reset_for_lease(const target_record& target, observed_target& state)
{
    state = {.epoch = target.lease_epoch,
             .last_renewal = state.last_renewal,
             .last_start = state.last_start};
}

void target_task_manager::apply_first_inventory(const target_record& target,
                                                const target_inventory& inventory)
{
    auto& state = this->targets[target.vm.name];
    const auto before = std::move(state.tasks);
    this->reset_for_lease(target, state);
    for (const auto& task : inventory.tasks)
        state.tasks[task.task] = {.inventory_entry = task,
                                  .start_seen_at = monotonic_clock::now(),
                                  .capacity_reserved = task.running()};
    state.inventory_known = true;
    for (const auto& [task, observed] : before) {
        const auto present_task = state.tasks.find(task);
        const bool still_runs =
            present_task != state.tasks.end() && present_task->second.capacity_reserved &&
            present_task->second.inventory_entry.attempt == observed.inventory_entry.attempt;
        if (observed.capacity_reserved && !still_runs)
            this->release_capacity(target.vm.name,
                                   observed.inventory_entry); // it ended between the polls
    }
}

void target_task_manager::expire_reservations(monotonic_time now)
{
    for (auto it = this->reservations.begin(); it != this->reservations.end();) {
        if (now < it->second.expires) {
            ++it;
            continue;
        }
        this->release_reservation(it->first, it->second);
        it = this->reservations.erase(it);
    }
}

/// Removes the drivers of jobs that have neither tasks nor reservations here.
void target_task_manager::remove_idle_drivers(monotonic_time now)
{
    if (now < this->next_driver_cleanup)
        return;
    this->next_driver_cleanup = now + driver_cleanup_interval;
    std::set<std::string> active_jobs;
    for (const auto& [key, reserved] : this->reservations)
        active_jobs.insert(reserved.job);
    for (const auto& [name, state] : this->targets) {
        for (const auto& [task, observed] : state.tasks)
            active_jobs.insert(job_of(task));
    }
    std::erase_if(this->driver_by_job,
                  [&active_jobs](const auto& entry) { return !active_jobs.contains(entry.first); });
}

void target_task_manager::poll_inventory(target_record& target, observed_target& state)
{
    state.poll_in_flight = true;
    state.last_poll = monotonic_clock::now();
    this->client.read_inventory(
        target.vm.address,
        [this, name = target.vm.name, epoch = state.epoch, poll_started = state.last_poll,
         guard = std::weak_ptr(this->alive)](absl::StatusOr<target_inventory> inventory) {
            if (guard.expired())
                return;
            auto& state = this->targets[name];
            if (state.epoch != epoch)
                return;
            state.poll_in_flight = false;
            if (inventory.ok())
                this->apply_inventory(name, epoch, poll_started, *inventory);
        });
}

void target_task_manager::apply_inventory(const std::string& target, std::int64_t epoch,
                                          monotonic_time poll_started,
                                          const target_inventory& inventory)
{
    auto& state = this->targets[target];
    const auto* record = this->registry.find(target);
    if (record == nullptr || record->lease_epoch != epoch)
        return;
    std::map<std::string, task_report> reports;
    std::set<std::string> present;
    for (const auto& task : inventory.tasks) {
        present.insert(task.task);
        this->apply_task(state, target, task, reports);
    }
    this->report_missing_tasks(state, target, poll_started, present, reports);
    state.inventory_known = true;
    this->renew_task_leases(target, state);
    this->send_reports(std::move(reports));
}

void target_task_manager::apply_task(observed_target& state, const std::string& target,
                                     const target_task& task,
                                     std::map<std::string, task_report>& reports)
{
    const auto now = monotonic_clock::now();
    auto [found, added] = state.tasks.try_emplace(task.task);
    auto& observed = found->second;
    const task_key key{.task = task.task, .attempt = task.attempt};
    if (const auto reserved = this->reservations.find(key);
        reserved != this->reservations.end() && reserved->second.start_sent) {
        observed.capacity_reserved = true;
        observed.start_seen_at = now;
        this->reservations.erase(reserved);
    }
    else if (added) {
        observed.start_seen_at = now;
    }
    observed.inventory_entry = task;
    if (task.running())
        return;
    if (observed.capacity_reserved) {
        observed.capacity_reserved = false;
        observed.unacknowledged_since = now;
        this->release_capacity(target, task);
    }
    if (observed.unacknowledged_since == monotonic_time())
        observed.unacknowledged_since = now;
    if (now - observed.end_reported_at < end_report_interval)
        return;
    observed.end_reported_at = now;
    reports[job_of(task.task)].tasks.push_back({.key = key,
                                                .target = target,
                                                .state = task.state,
                                                .result = task.result,
                                                .progress_ms = task.progress_ms});
    if (now - observed.unacknowledged_since > unacknowledged_timeout &&
        !observed.store_check_pending) {
        observed.store_check_pending = true;
        this->forget_task_if_job_finished(target, task.task);
    }
}

void target_task_manager::report_missing_tasks(observed_target& state, const std::string& target,
                                               monotonic_time poll_started,
                                               const std::set<std::string>& present,
                                               std::map<std::string, task_report>& reports)
{
    std::erase_if(state.tasks, [&](const auto& item) {
        const auto& [task, observed] = item;
        // A task that was started after the poll was sent may be missing from the inventory.
        if (present.contains(task) || observed.start_seen_at >= poll_started)
            return false;
        if (observed.capacity_reserved) {
            this->release_capacity(target, observed.inventory_entry);
            reports[job_of(task)].tasks.push_back(
                {.key = {.task = task, .attempt = observed.inventory_entry.attempt},
                 .target = target,
                 .state = "absent"});
        }
        return true;
    });
}

void target_task_manager::release_capacity(const std::string& target, const target_task& task)
{
    this->registry.release(target, task.team, task.demand, task_start_id(task.task, task.attempt));
}

void target_task_manager::renew_task_leases(const std::string& target, observed_target& state)
{
    const auto now = monotonic_clock::now();
    const auto* record = this->registry.find(target);
    if (now - state.last_renewal < this->settings.task_lease / renewals_per_lease ||
        !record->lease_held(now))
        return;
    state.last_renewal = now;
    for (const auto& [task, observed] : state.tasks) {
        if (observed.inventory_entry.running())
            this->client.renew_task(record->vm.address, task, state.epoch,
                                    this->settings.task_lease, [](const absl::Status&) {});
    }
}

void target_task_manager::send_reports(std::map<std::string, task_report> reports)
{
    for (auto& [job, report] : reports) {
        report.job = job;
        if (const auto driver = this->driver_by_job.find(job); driver != this->driver_by_job.end())
            this->messenger.send(driver->second, report);
        else
            this->messenger.send_all(report);
    }
}

void target_task_manager::forget_task_if_job_finished(const std::string& target,
                                                      const std::string& task)
{
    // The job may have a new driver: without a known one, the next report goes to all entry
    // daemons.
    this->driver_by_job.erase(job_of(task));
    read_job_record(
        this->store, job_of(task),
        [this, target, task, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_entry> entry) {
            if (guard.expired())
                return;
            const auto job = entry.ok() ? job_record::parse(entry->value) : entry.status();
            const bool recorded = job.ok() && job->finished;
            auto& state = this->targets[target];
            const auto found = state.tasks.find(task);
            const auto* record = this->registry.find(target);
            if (found == state.tasks.end() || record == nullptr)
                return;
            found->second.store_check_pending = false;
            found->second.unacknowledged_since = monotonic_clock::now();
            if (recorded)
                this->client.forget_task(record->vm.address, task, [](const absl::Status&) {});
        });
}

} // namespace verbenalever
