// The part of job_driver that reserves capacity for tasks and starts them.

#include "jobs/fleet_view.h"
#include "jobs/job_context.h"
#include "jobs/job_driver.h"
#include "jobs/job_messenger.h"
#include "jobs/start_request.h"
#include "jobs/task_query.h"
#include "targets/target_registry.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

constexpr std::size_t max_tasks_per_search = 64;
constexpr milliseconds no_capacity_delay{200};
/// Gangs retry after a random delay, so that two that blocked each other do not collide again.
constexpr milliseconds min_gang_delay{200};
constexpr milliseconds gang_delay_spread{800};
/// A task that is known to run is queried rarely, since its end is reported without a query.
constexpr milliseconds confirmed_query_interval{10000};
constexpr milliseconds query_interval{1000};

} // namespace

std::vector<task_key> job_driver::collect_due_tasks(monotonic_time now)
{
    std::vector<task_key> due;
    const auto max_due = this->job.gang ? this->job.tasks.size() : max_tasks_per_search;
    for (std::size_t i = 0; i < this->job.tasks.size() && due.size() < max_due; ++i) {
        const auto& task = this->job.tasks[i];
        const bool must_wait = task.state == "pending" && now < this->live_states[i].earliest_start;
        // A gang starts as a whole: none is due while any of its tasks is placed or must wait.
        if (this->job.gang && (task.state == "placed" || must_wait))
            return {};
        if (task.state == "pending" && !must_wait)
            due.push_back(
                {.task = this->task_id(i),
                 .attempt = fmt::format("{}-{}", this->job.epoch, ++this->attempt_count)});
    }
    return due;
}

std::vector<std::string> job_driver::candidate_holders() const
{
    const auto& settings = this->context.settings;
    std::vector<std::string> near;
    std::vector<std::string> far;
    if (this->context.registry.free_slots() > 0)
        near.push_back(settings.name);
    for (const auto& [name, peer] : this->context.mesh.peers()) {
        if (!peer.alive || peer.last_heartbeat.draining || peer.last_heartbeat.free_slots <= 0)
            continue;
        auto& list = peer.availability_zone == settings.availability_zone ? near : far;
        list.push_back(name);
    }
    near.insert(near.end(), far.begin(), far.end());
    // All gangs ask in the same order, so that of two that compete one gets the capacity of the
    // first holder.
    if (this->job.gang)
        std::ranges::sort(near);
    return near;
}

void job_driver::place_due_tasks(monotonic_time now)
{
    if (this->finder.busy() || now < this->next_placement)
        return;
    auto due = this->collect_due_tasks(now);
    if (due.empty())
        return;
    auto candidate_holders = this->candidate_holders();
    if (candidate_holders.empty()) {
        this->next_placement = now + no_capacity_delay;
        return;
    }
    const auto wanted = due.size();
    this->finder.search(
        std::move(due), std::move(candidate_holders), this->job.gang,
        [this, wanted](std::vector<task_reservation> granted) {
            const bool enough = this->job.gang ? granted.size() == wanted : !granted.empty();
            if (enough && this->state == phase::driving && !this->job.cancelled)
                return this->store_placements(std::move(granted));
            this->finder.release(granted);
            auto delay = no_capacity_delay;
            if (this->job.gang) {
                this->random_state = this->random_state * 1664525 + 1013904223;
                delay = min_gang_delay + gang_delay_spread * (this->random_state >> 16) / 65536;
            }
            this->next_placement = monotonic_clock::now() + delay;
        });
}

void job_driver::store_placements(std::vector<task_reservation> granted)
{
    std::vector<std::size_t> changed;
    for (auto& [place, holder] : granted) {
        const auto index = this->index_of(place.key.task);
        auto& task = this->job.tasks[index];
        task.state = "placed";
        task.target = place.target;
        task.attempt = place.key.attempt;
        place.resume_ms = task.progress_ms;
        const auto now = monotonic_clock::now();
        this->live_states[index] = {.holder = holder, .last_status_at = now, .queried_at = now};
        changed.push_back(index);
    }
    this->pages.save(changed, [this, granted = std::move(granted)] { this->send_starts(granted); });
}

void job_driver::send_starts(const std::vector<task_reservation>& granted)
{
    if (this->state != phase::driving)
        return;
    std::map<std::string, start_request> requests;
    for (const auto& [place, holder] : granted) {
        requests[holder].tasks.push_back(place);
        this->live_states[this->index_of(place.key.task)].queried_at = monotonic_clock::now();
    }
    for (auto& [holder, request] : requests) {
        request.job = this->job.id;
        request.command = this->job.command;
        this->context.messenger.send(holder, request);
    }
}

void job_driver::query_tasks(monotonic_time now)
{
    std::map<std::string, task_query> queries;
    std::vector<std::size_t> expired_tasks;
    for (std::size_t i = 0; i < this->job.tasks.size(); ++i) {
        const auto& task = this->job.tasks[i];
        auto& live_state = this->live_states[i];
        if (task.state != "placed")
            continue;
        const auto peer = this->context.mesh.peers().find(live_state.holder);
        const bool reachable = live_state.holder == this->context.settings.name ||
                               (peer != this->context.mesh.peers().end() && peer->second.alive);
        if (!reachable)
            live_state.holder.clear();
        const bool running_confirmed = live_state.running_confirmed && !live_state.holder.empty();
        if (now - live_state.queried_at <
            (running_confirmed ? confirmed_query_interval : query_interval))
            continue;
        live_state.queried_at = now;
        const task_place place{.key = {.task = this->task_id(i), .attempt = task.attempt},
                               .target = task.target};
        if (!live_state.holder.empty()) {
            queries[live_state.holder].tasks.push_back(place);
            continue;
        }
        if (this->task_lease_expired(i, now)) {
            this->end_expired_attempt(i, now);
            expired_tasks.push_back(i);
            continue;
        }
        const auto zone = this->context.fleet.zone_of(task.target);
        for (const auto& entry : this->context.fleet.entries_in_zone(zone))
            queries[entry].tasks.push_back(place);
    }
    for (auto& [entry, query] : queries) {
        query.job = this->job.id;
        this->context.messenger.send(entry, query);
    }
    if (!expired_tasks.empty())
        this->store_changes(expired_tasks, {});
}

void job_driver::stop_incomplete_gang(monotonic_time now)
{
    const bool is_incomplete = std::ranges::any_of(
        this->job.tasks, [](const job_task& task) { return task.state == "pending"; });
    if (is_incomplete)
        this->stop_placed_tasks(now);
}

} // namespace verbenalever
