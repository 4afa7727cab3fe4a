#include "jobs/task_holder.h"

#include "jobs/job_mailbox.h"
#include "jobs/release_request.h"
#include "jobs/task_order.h"
#include "jobs/task_query.h"
#include "scheduling/placement_policy_table.h"
#include "targets/target_client.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <nlohmann/json.hpp>

namespace verbenalever {

namespace {

constexpr milliseconds pass_interval{100};
constexpr milliseconds reservation_ttl{4000};
constexpr std::string_view resume_member = "resume_ms";

std::string with_progress(const std::string& command, std::int64_t resume_ms)
{
    auto json = nlohmann::json::parse(command, nullptr, false);
    if (resume_ms == 0 || !json.is_object())
        return command;
    json[std::string(resume_member)] = resume_ms;
    return json.dump();
}

} // namespace

task_holder::task_holder(event_loop& loop, const entry_settings& settings, job_mailbox& mailbox,
                         kv_client& store, target_registry& registry, target_client& client,
                         placement_policy_table& placements, counters& metrics,
                         const event_log& log)
    : settings(settings), mailbox(mailbox), store(store), registry(registry), client(client),
      placements(placements), metrics(metrics), log(log), pass_timer(loop, [this] { this->tick(); })
{
    this->add_handlers();
    this->registry.on_inventory(
        [this](const target_record& target, const target_inventory& inventory) {
            if (const auto& state = this->held[target.vm.name];
                !state.known || state.epoch != target.lease_epoch)
                this->take_first_inventory(target, inventory);
        });
}

task_holder::~task_holder() = default;

void task_holder::start()
{
    this->pass_timer.start_repeating(pass_interval);
}

void task_holder::add_handlers()
{
    this->mailbox.on<reserve_request>(
        [this](const std::string& from, const reserve_request& request) {
            this->reserve(from, request);
        });
    this->mailbox.on<start_request>([this](const std::string& from, const start_request& request) {
        this->start_tasks(from, request);
    });
    this->mailbox.on<release_request>(
        [this](const std::string&, const release_request& request) { this->release(request); });
    this->mailbox.on<task_query>(
        [this](const std::string& from, const task_query& query) { this->answer(from, query); });
    this->mailbox.on<task_order>(
        [this](const std::string& from, const task_order& order) { this->obey(from, order); });
}

void task_holder::reserve(const std::string& from, const reserve_request& request)
{
    reserve_answer answer{.number = request.number, .job = request.job, .granted = {}};
    const auto expires = monotonic_clock::now() + reservation_ttl;
    for (const auto& key : request.tasks) {
        if (this->reservations.contains(key))
            continue;
        const auto target =
            this->registry.place(this->placements.policy_for(request.queue), request.team,
                                 request.demand, work_id(key.task, key.attempt));
        if (!target)
            break;
        this->reservations.emplace(key,
                                   reservation{.job = request.job,
                                               .target = *target,
                                               .epoch = this->registry.find(*target)->lease_epoch,
                                               .team = request.team,
                                               .demand = request.demand,
                                               .expires = expires});
        answer.granted.push_back({.key = key, .target = *target});
    }
    this->drivers[request.job] = from;
    this->mailbox.send(from, answer);
}

void task_holder::start_tasks(const std::string& from, const start_request& request)
{
    this->drivers[request.job] = from;
    for (const auto& place : request.tasks)
        this->start_one(from, request, place);
}

void task_holder::start_one(const std::string& from, const start_request& request,
                            const task_place& place)
{
    const auto found = this->reservations.find(place.key);
    if (found == this->reservations.end())
        return this->refuse(from, request.job, place);
    auto& room = found->second;
    if (room.started)
        return;
    const auto now = monotonic_clock::now();
    const auto* target = this->registry.find(room.target);
    if (now >= room.expires || target == nullptr || target->lease_epoch != room.epoch ||
        !this->registry.may_start(*target, now)) {
        this->free_reservation(place.key, room);
        this->reservations.erase(found);
        return this->refuse(from, request.job, place);
    }
    room.started = true;
    room.expires = now + this->settings.task_lease;
    this->held[room.target].last_start = now;
    this->log.write("jobs", "task_start_sent",
                    {{"task", place.key.task},
                     {"attempt", place.key.attempt},
                     {"target", room.target},
                     {"team", room.team}});
    this->metrics.add("task_starts");
    this->client.start_task(
        target->vm.address,
        {.task = place.key.task,
         .attempt = place.key.attempt,
         .team = room.team,
         .demand = room.demand,
         .lease = this->settings.task_lease,
         .command = with_progress(request.command, place.resume_ms)},
        room.epoch,
        [this, place, job = request.job, guard = std::weak_ptr(this->alive)](absl::Status answer) {
            if (!guard.expired())
                this->start_answered(job, place, answer);
        });
}

void task_holder::start_answered(const std::string& job, const task_place& place,
                                 const absl::Status& answer)
{
    const auto found = this->reservations.find(place.key);
    if (found == this->reservations.end())
        return;
    auto& room = found->second;
    if (!answer.ok() && !absl::IsAborted(answer)) {
        return; // in doubt: until an inventory shows the task, or it must have lapsed
    }
    if (answer.ok()) {
        auto& state = this->held[room.target];
        if (state.epoch == room.epoch) {
            state.tasks[place.key.task] = {.seen = {.task = place.key.task,
                                                    .attempt = place.key.attempt,
                                                    .team = room.team,
                                                    .demand = room.demand,
                                                    .state = "running",
                                                    .result = {}},
                                           .since = monotonic_clock::now(),
                                           .counted = true};
            state.last_read = {};
        }
        this->reservations.erase(found);
        return;
    }
    this->free_reservation(place.key, room);
    this->reservations.erase(found);
    this->refuse(this->drivers[job], job, place);
}

void task_holder::release(const release_request& request)
{
    for (const auto& key : request.tasks) {
        const auto found = this->reservations.find(key);
        if (found == this->reservations.end() || found->second.started)
            continue;
        this->free_reservation(key, found->second);
        this->reservations.erase(found);
    }
}

void task_holder::refuse(const std::string& to, const std::string& job, const task_place& place)
{
    task_report report{.job = job, .tasks = {}};
    report.tasks.push_back({.key = place.key, .target = place.target, .state = "refused"});
    this->mailbox.send(to, report);
}

void task_holder::free_reservation(const task_key& key, const reservation& room)
{
    this->registry.release(room.target, room.team, room.demand, work_id(key.task, key.attempt));
}

void task_holder::answer(const std::string& from, const task_query& query)
{
    this->drivers[query.job] = from;
    task_report report{.job = query.job, .tasks = {}};
    for (const auto& place : query.tasks)
        report.tasks.push_back(this->status_of(place));
    this->mailbox.send(from, report);
}

task_status task_holder::status_of(const task_place& place)
{
    const auto now = monotonic_clock::now();
    task_status status{.key = place.key, .target = place.target, .state = "not_held"};
    if (this->reservations.contains(place.key)) {
        status.state = "starting";
        return status;
    }
    const auto* target = this->registry.find(place.target);
    const auto found = this->held.find(place.target);
    const bool known_now = target != nullptr && target->lease_held(now) &&
                           found != this->held.end() &&
                           found->second.epoch == target->lease_epoch && found->second.known;
    if (!known_now) {
        auto last = this->born;
        if (found != this->held.end())
            last = std::max({last, found->second.last_renewal, found->second.last_start});
        status.idle_ms = to_milliseconds(now - last);
        return status;
    }
    const auto task = found->second.tasks.find(place.key.task);
    const bool known =
        task != found->second.tasks.end() && task->second.seen.attempt == place.key.attempt;
    status.state = known ? task->second.seen.state : "absent";
    if (known) {
        status.result = task->second.seen.result;
        status.progress_ms = task->second.seen.progress_ms;
    }
    return status;
}

void task_holder::obey(const std::string& from, const task_order& order)
{
    this->drivers[order.job] = from;
    for (const auto& place : order.tasks) {
        const auto* target = this->registry.find(place.target);
        const auto found = this->held.find(place.target);
        if (target == nullptr || found == this->held.end())
            continue;
        const auto task = found->second.tasks.find(place.key.task);
        if (task == found->second.tasks.end() || task->second.seen.attempt != place.key.attempt)
            continue;
        found->second.last_read = {};
        if (order.action == "stop")
            this->client.stop_task(target->vm.address, place.key.task, target->lease_epoch,
                                   [](const absl::Status&) {});
        else if (!task->second.seen.running())
            this->client.forget_task(target->vm.address, place.key.task,
                                     [](const absl::Status&) {});
    }
}

} // namespace verbenalever
