// How a driver finds room for tasks and starts them.

#include "jobs/fleet_view.h"
#include "jobs/job_driver.h"
#include "jobs/job_mailbox.h"
#include "jobs/job_services.h"
#include "jobs/start_request.h"
#include "jobs/task_query.h"
#include "targets/target_registry.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

constexpr std::size_t most_tasks_in_search = 64;
constexpr milliseconds no_room_delay{200};
/// Two gangs that took room from each other wait for different times before they try again.
constexpr milliseconds gang_delay_least{200};
constexpr milliseconds gang_delay_spread{800};
/// A task that is known to run is asked about rarely: its holder tells of its end.
constexpr milliseconds confirmed_query_interval{10000};
constexpr milliseconds query_interval{1000};

} // namespace

std::vector<task_key> job_driver::due_tasks(monotonic_time now)
{
    std::vector<task_key> due;
    const auto most = this->job.gang ? this->job.tasks.size() : most_tasks_in_search;
    for (std::size_t i = 0; i < this->job.tasks.size() && due.size() < most; ++i) {
        const auto& task = this->job.tasks[i];
        const bool waits = task.state == "pending" && now < this->progress[i].retry_after;
        // A gang starts whole: while one of its tasks runs or waits, none is due.
        if (this->job.gang && (task.state == "placed" || waits))
            return {};
        if (task.state == "pending" && !waits)
            due.push_back({.task = this->task_id(i),
                           .attempt = fmt::format("{}-{}", this->job.epoch, ++this->attempts)});
    }
    return due;
}

std::vector<std::string> job_driver::holders() const
{
    const auto& settings = this->services.settings;
    std::vector<std::string> near;
    std::vector<std::string> far;
    if (this->services.registry.free_slots() > 0)
        near.push_back(settings.name);
    for (const auto& [name, peer] : this->services.mesh.peers()) {
        if (!peer.alive || peer.last_heartbeat.draining || peer.last_heartbeat.free_slots <= 0)
            continue;
        auto& list = peer.availability_zone == settings.availability_zone ? near : far;
        list.push_back(name);
    }
    near.insert(near.end(), far.begin(), far.end());
    // Gangs ask in one order, so that one of two that compete gets the first holder's room.
    if (this->job.gang)
        std::ranges::sort(near);
    return near;
}

void job_driver::place(monotonic_time now)
{
    if (this->finder.busy() || now < this->next_placement)
        return;
    auto due = this->due_tasks(now);
    if (due.empty())
        return;
    auto holders = this->holders();
    if (holders.empty()) {
        this->next_placement = now + no_room_delay;
        return;
    }
    const auto wanted = due.size();
    this->finder.search(
        std::move(due), std::move(holders), this->job.gang,
        [this, wanted](std::vector<granted_task> granted) {
            const bool enough = this->job.gang ? granted.size() == wanted : !granted.empty();
            if (enough && this->state == phase::driving && !this->job.cancelled)
                return this->take_room(std::move(granted));
            this->finder.release(granted);
            auto delay = no_room_delay;
            if (this->job.gang) {
                this->random_state = this->random_state * 1664525 + 1013904223;
                delay = gang_delay_least + gang_delay_spread * (this->random_state >> 16) / 65536;
            }
            this->next_placement = monotonic_clock::now() + delay;
        });
}

void job_driver::take_room(std::vector<granted_task> granted)
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
        this->progress[index] = {.holder = holder, .last_heard = now, .asked = now};
        changed.push_back(index);
    }
    this->pages.save(changed, [this, granted = std::move(granted)] { this->send_starts(granted); });
}

void job_driver::send_starts(const std::vector<granted_task>& granted)
{
    if (this->state != phase::driving)
        return;
    std::map<std::string, start_request> requests;
    for (const auto& [place, holder] : granted) {
        requests[holder].tasks.push_back(place);
        this->progress[this->index_of(place.key.task)].asked = monotonic_clock::now();
    }
    for (auto& [holder, request] : requests) {
        request.job = this->job.id;
        request.command = this->job.command;
        this->services.mailbox.send(holder, request);
    }
}

void job_driver::ask_about_tasks(monotonic_time now)
{
    std::map<std::string, task_query> queries;
    std::vector<std::size_t> lapsed;
    for (std::size_t i = 0; i < this->job.tasks.size(); ++i) {
        const auto& task = this->job.tasks[i];
        auto& progress = this->progress[i];
        if (task.state != "placed")
            continue;
        const auto peer = this->services.mesh.peers().find(progress.holder);
        const bool reachable = progress.holder == this->services.settings.name ||
                               (peer != this->services.mesh.peers().end() && peer->second.alive);
        if (!reachable)
            progress.holder.clear();
        const bool quiet = progress.confirmed && !progress.holder.empty();
        if (now - progress.asked < (quiet ? confirmed_query_interval : query_interval))
            continue;
        progress.asked = now;
        const task_place place{.key = {.task = this->task_id(i), .attempt = task.attempt},
                               .target = task.target};
        if (!progress.holder.empty()) {
            queries[progress.holder].tasks.push_back(place);
            continue;
        }
        if (this->surely_lapsed(i, now)) {
            this->end_lapsed(i, now);
            lapsed.push_back(i);
            continue;
        }
        const auto zone = this->services.fleet.zone_of(task.target);
        for (const auto& entry : this->services.fleet.entries_of(zone))
            queries[entry].tasks.push_back(place);
    }
    for (auto& [entry, query] : queries) {
        query.job = this->job.id;
        this->services.mailbox.send(entry, query);
    }
    if (!lapsed.empty())
        this->save_ends(lapsed, {});
}

void job_driver::stop_gang_remains(monotonic_time now)
{
    const bool broken = std::ranges::any_of(
        this->job.tasks, [](const job_task& task) { return task.state == "pending"; });
    if (broken)
        this->stop_placed(now);
}

} // namespace verbenalever
