// The holder's pass over the inventories of its targets.

#include "jobs/job_lookup.h"
#include "jobs/job_mailbox.h"
#include "jobs/job_record.h"
#include "jobs/task_holder.h"
#include "store/kv_client.h"
#include "targets/target_client.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <charconv>

namespace verbenalever {

namespace {

constexpr milliseconds busy_read_interval{500};
/// Without tasks an inventory can only heal what is known wrongly.
constexpr milliseconds idle_read_interval{20000};
constexpr milliseconds report_interval{2000};
/// Ended tasks that no driver has claimed for this long are looked up in the store.
constexpr milliseconds unclaimed_limit{20000};
constexpr int renewals_in_lease = 4;
constexpr milliseconds forget_interval{30000};

std::string job_of(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

void task_holder::tick()
{
    const auto now = monotonic_clock::now();
    this->expire_reservations(now);
    this->forget_idle_jobs(now);
    const auto starting = this->targets_with_starts();
    for (auto& [name, target] : this->registry.all()) {
        auto& state = this->held[name];
        if (!target.lease_held(now)) {
            this->tell_lost(name, state);
            continue;
        }
        if (state.epoch != target.lease_epoch) {
            state.known = false; // until the inventory under this lease comes
            continue;
        }
        const bool idle = state.tasks.empty() && !starting.contains(name);
        const auto interval = idle ? idle_read_interval : busy_read_interval;
        // The lease keeper reads first: it sets what is reserved.
        if (target.inventory_known && !state.reading && now - state.last_read >= interval)
            this->read(target, state);
    }
}

std::set<std::string_view> task_holder::targets_with_starts() const
{
    std::set<std::string_view> targets;
    for (const auto& [key, room] : this->reservations) {
        if (room.started)
            targets.insert(room.target);
    }
    return targets;
}

/// Let drivers look for the next holder at once, or notice that there is none.
void task_holder::tell_lost(const std::string& target, held_target& state)
{
    if (!state.known)
        return;
    state.known = false;
    std::map<std::string, task_report> reports;
    for (const auto& [task, known] : state.tasks) {
        if (known.seen.running())
            reports[job_of(task)].tasks.push_back(this->status_of(
                {.key = {.task = task, .attempt = known.seen.attempt}, .target = target}));
    }
    this->send_reports(std::move(reports));
}

void task_holder::take_lease(const target_record& target, held_target& state)
{
    state = {.epoch = target.lease_epoch,
             .last_renewal = state.last_renewal,
             .last_start = state.last_start};
}

void task_holder::take_first_inventory(const target_record& target,
                                       const target_inventory& inventory)
{
    auto& state = this->held[target.vm.name];
    const auto before = std::move(state.tasks);
    this->take_lease(target, state);
    for (const auto& task : inventory.tasks)
        state.tasks[task.task] = {
            .seen = task, .since = monotonic_clock::now(), .counted = task.running()};
    state.known = true;
    for (const auto& [task, known] : before) {
        const auto now_seen = state.tasks.find(task);
        const bool runs_on = now_seen != state.tasks.end() && now_seen->second.counted &&
                             now_seen->second.seen.attempt == known.seen.attempt;
        if (known.counted && !runs_on)
            this->release_room(target.vm.name, known.seen); // it ended while nobody looked
    }
}

void task_holder::expire_reservations(monotonic_time now)
{
    for (auto it = this->reservations.begin(); it != this->reservations.end();) {
        if (now < it->second.expires) {
            ++it;
            continue;
        }
        this->free_reservation(it->first, it->second);
        it = this->reservations.erase(it);
    }
}

/// Keep the drivers of those jobs only that have tasks or room here.
void task_holder::forget_idle_jobs(monotonic_time now)
{
    if (now < this->next_forgetting)
        return;
    this->next_forgetting = now + forget_interval;
    std::set<std::string> busy;
    for (const auto& [key, room] : this->reservations)
        busy.insert(room.job);
    for (const auto& [name, state] : this->held) {
        for (const auto& [task, known] : state.tasks)
            busy.insert(job_of(task));
    }
    std::erase_if(this->drivers,
                  [&busy](const auto& entry) { return !busy.contains(entry.first); });
}

void task_holder::read(target_record& target, held_target& state)
{
    state.reading = true;
    state.last_read = monotonic_clock::now();
    this->client.read_inventory(
        target.vm.address,
        [this, name = target.vm.name, epoch = state.epoch, started = state.last_read,
         guard = std::weak_ptr(this->alive)](absl::StatusOr<target_inventory> inventory) {
            if (guard.expired())
                return;
            auto& state = this->held[name];
            if (state.epoch != epoch)
                return;
            state.reading = false;
            if (inventory.ok())
                this->digest(name, epoch, started, *inventory);
        });
}

void task_holder::digest(const std::string& target, std::int64_t epoch, monotonic_time read_started,
                         const target_inventory& inventory)
{
    auto& state = this->held[target];
    const auto* record = this->registry.find(target);
    if (record == nullptr || record->lease_epoch != epoch)
        return;
    std::map<std::string, task_report> reports;
    std::set<std::string> present;
    for (const auto& task : inventory.tasks) {
        present.insert(task.task);
        this->take_task(state, target, task, reports);
    }
    this->drop_vanished(state, target, read_started, present, reports);
    state.known = true;
    this->renew_tasks(target, state);
    this->send_reports(std::move(reports));
}

void task_holder::take_task(held_target& state, const std::string& target, const target_task& task,
                            std::map<std::string, task_report>& reports)
{
    const auto now = monotonic_clock::now();
    auto [found, added] = state.tasks.try_emplace(task.task);
    auto& known = found->second;
    const task_key key{.task = task.task, .attempt = task.attempt};
    if (const auto room = this->reservations.find(key);
        room != this->reservations.end() && room->second.started) {
        known.counted = true;
        known.since = now;
        this->reservations.erase(room);
    }
    else if (added) {
        known.since = now;
    }
    known.seen = task;
    if (task.running())
        return;
    if (known.counted) {
        known.counted = false;
        known.ended = now;
        this->release_room(target, task);
    }
    if (known.ended == monotonic_time())
        known.ended = now;
    if (now - known.reported < report_interval)
        return;
    known.reported = now;
    reports[job_of(task.task)].tasks.push_back({.key = key,
                                                .target = target,
                                                .state = task.state,
                                                .result = task.result,
                                                .progress_ms = task.progress_ms});
    if (now - known.ended > unclaimed_limit && !known.recording_asked) {
        known.recording_asked = true;
        this->forget_if_recorded(target, task.task);
    }
}

void task_holder::drop_vanished(held_target& state, const std::string& target,
                                monotonic_time read_started, const std::set<std::string>& present,
                                std::map<std::string, task_report>& reports)
{
    std::erase_if(state.tasks, [&](const auto& item) {
        const auto& [task, known] = item;
        // A task that was started after the reading began may be missing from it.
        if (present.contains(task) || known.since >= read_started)
            return false;
        if (known.counted) {
            this->release_room(target, known.seen);
            reports[job_of(task)].tasks.push_back(
                {.key = {.task = task, .attempt = known.seen.attempt},
                 .target = target,
                 .state = "absent"});
        }
        return true;
    });
}

void task_holder::release_room(const std::string& target, const target_task& task)
{
    this->registry.release(target, task.team, task.demand, work_id(task.task, task.attempt));
}

void task_holder::renew_tasks(const std::string& target, held_target& state)
{
    const auto now = monotonic_clock::now();
    const auto* record = this->registry.find(target);
    if (now - state.last_renewal < this->settings.task_lease / renewals_in_lease ||
        !record->lease_held(now))
        return;
    state.last_renewal = now;
    for (const auto& [task, known] : state.tasks) {
        if (known.seen.running())
            this->client.renew_task(record->vm.address, task, state.epoch,
                                    this->settings.task_lease, [](const absl::Status&) {});
    }
}

void task_holder::send_reports(std::map<std::string, task_report> reports)
{
    for (auto& [job, report] : reports) {
        report.job = job;
        if (const auto driver = this->drivers.find(job); driver != this->drivers.end())
            this->mailbox.send(driver->second, report);
        else
            this->mailbox.send_all(report);
    }
}

void task_holder::forget_if_recorded(const std::string& target, const std::string& task)
{
    // The driver may be another one by now; the next report goes to all.
    this->drivers.erase(job_of(task));
    look_up_job(
        this->store, job_of(task),
        [this, target, task, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_entry> entry) {
            if (guard.expired())
                return;
            const auto job = entry.ok() ? job_record::parse(entry->value) : entry.status();
            const bool recorded = job.ok() && job->finished;
            auto& state = this->held[target];
            const auto found = state.tasks.find(task);
            const auto* record = this->registry.find(target);
            if (found == state.tasks.end() || record == nullptr)
                return;
            found->second.recording_asked = false;
            found->second.ended = monotonic_clock::now();
            if (recorded)
                this->client.forget_task(record->vm.address, task, [](const absl::Status&) {});
        });
}

} // namespace verbenalever
