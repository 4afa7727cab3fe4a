#include "jobs/target_task_manager.h"

#include "jobs/job_messenger.h"
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

constexpr milliseconds tick_interval{100};
constexpr milliseconds reservation_timeout{4000};
constexpr std::string_view resume_member = "resume_ms";

std::string add_resume_progress(const std::string& command, std::int64_t resume_ms)
{
    auto json = nlohmann::json::parse(command, nullptr, false);
    if (resume_ms == 0 || !json.is_object())
        return command;
    json[std::string(resume_member)] = resume_ms;
    return json.dump();
}

} // namespace

target_task_manager::target_task_manager(event_loop& loop, const entry_settings& settings,
                                         job_messenger& messenger, kv_client& store,
                                         target_registry& registry, target_client& client,
                                         placement_policy_table& placements, counters& metrics,
                                         const event_log& log)
    : settings(settings), messenger(messenger), store(store), registry(registry), client(client),
      placements(placements), metrics(metrics), log(log), tick_timer(loop, [this] { this->tick(); })
{
    this->add_handlers();
    this->registry.on_inventory(
        [this](const target_record& target, const target_inventory& inventory) {
            if (const auto& state = this->targets[target.vm.name];
                !state.inventory_known || state.epoch != target.lease_epoch)
                this->apply_first_inventory(target, inventory);
        });
}

target_task_manager::~target_task_manager() = default;

void target_task_manager::start()
{
    this->tick_timer.start_repeating(tick_interval);
}

void target_task_manager::add_handlers()
{
    this->messenger.on<reserve_request>(
        [this](const std::string& from, const reserve_request& request) {
            this->reserve(from, request);
        });
    this->messenger.on<start_request>(
        [this](const std::string& from, const start_request& request) {
            this->start_tasks(from, request);
        });
    this->messenger.on<release_request>([this](const std::string&, const release_request& request) {
        this->release_unused(request);
    });
    this->messenger.on<task_query>([this](const std::string& from, const task_query& query) {
        this->answer_query(from, query);
    });
    this->messenger.on<task_order>([this](const std::string& from, const task_order& order) {
        this->execute_order(from, order);
    });
}

void target_task_manager::reserve(const std::string& from, const reserve_request& request)
{
    reserve_answer answer{.number = request.number, .job = request.job, .granted = {}};
    const auto expires = monotonic_clock::now() + reservation_timeout;
    for (const auto& key : request.tasks) {
        if (this->reservations.contains(key))
            continue;
        const auto target =
            this->registry.place(this->placements.policy_for(request.queue), request.team,
                                 request.demand, task_start_id(key.task, key.attempt));
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
    this->driver_by_job[request.job] = from;
    this->messenger.send(from, answer);
}

void target_task_manager::start_tasks(const std::string& from, const start_request& request)
{
    this->driver_by_job[request.job] = from;
    for (const auto& place : request.tasks)
        this->start_task(from, request, place);
}

void target_task_manager::start_task(const std::string& from, const start_request& request,
                                     const task_place& place)
{
    const auto found = this->reservations.find(place.key);
    if (found == this->reservations.end())
        return this->report_refused(from, request.job, place);
    auto& reserved = found->second;
    if (reserved.start_sent)
        return;
    const auto now = monotonic_clock::now();
    const auto* target = this->registry.find(reserved.target);
    if (now >= reserved.expires || target == nullptr || target->lease_epoch != reserved.epoch ||
        !this->registry.may_start(*target, now)) {
        this->release_reservation(place.key, reserved);
        this->reservations.erase(found);
        return this->report_refused(from, request.job, place);
    }
    reserved.start_sent = true;
    reserved.expires = now + this->settings.task_lease;
    this->targets[reserved.target].last_start = now;
    this->log.write("jobs", "task_start_sent",
                    {{"task", place.key.task},
                     {"attempt", place.key.attempt},
                     {"target", reserved.target},
                     {"team", reserved.team}});
    this->metrics.add("task_starts");
    this->client.start_task(
        target->vm.address,
        {.task = place.key.task,
         .attempt = place.key.attempt,
         .team = reserved.team,
         .demand = reserved.demand,
         .lease = this->settings.task_lease,
         .command = add_resume_progress(request.command, place.resume_ms)},
        reserved.epoch,
        [this, place, job = request.job, guard = std::weak_ptr(this->alive)](absl::Status answer) {
            if (!guard.expired())
                this->apply_start_response(job, place, answer);
        });
}

void target_task_manager::apply_start_response(const std::string& job, const task_place& place,
                                               const absl::Status& answer)
{
    const auto found = this->reservations.find(place.key);
    if (found == this->reservations.end())
        return;
    auto& reserved = found->second;
    if (!answer.ok() && !absl::IsAborted(answer)) {
        return; // unknown until an inventory shows the task or its lease must have expired
    }
    if (answer.ok()) {
        auto& state = this->targets[reserved.target];
        if (state.epoch == reserved.epoch) {
            state.tasks[place.key.task] = {.inventory_entry = {.task = place.key.task,
                                                               .attempt = place.key.attempt,
                                                               .team = reserved.team,
                                                               .demand = reserved.demand,
                                                               .state = "running",
                                                               .result = {}},
                                           .start_seen_at = monotonic_clock::now(),
                                           .capacity_reserved = true};
            state.last_poll = {};
        }
        this->reservations.erase(found);
        return;
    }
    this->release_reservation(place.key, reserved);
    this->reservations.erase(found);
    this->report_refused(this->driver_by_job[job], job, place);
}

void target_task_manager::release_unused(const release_request& request)
{
    for (const auto& key : request.tasks) {
        const auto found = this->reservations.find(key);
        if (found == this->reservations.end() || found->second.start_sent)
            continue;
        this->release_reservation(key, found->second);
        this->reservations.erase(found);
    }
}

void target_task_manager::report_refused(const std::string& to, const std::string& job,
                                         const task_place& place)
{
    task_report report{.job = job, .tasks = {}};
    report.tasks.push_back({.key = place.key, .target = place.target, .state = "refused"});
    this->messenger.send(to, report);
}

void target_task_manager::release_reservation(const task_key& key, const reservation& reserved)
{
    this->registry.release(reserved.target, reserved.team, reserved.demand,
                           task_start_id(key.task, key.attempt));
}

void target_task_manager::answer_query(const std::string& from, const task_query& query)
{
    this->driver_by_job[query.job] = from;
    task_report report{.job = query.job, .tasks = {}};
    for (const auto& place : query.tasks)
        report.tasks.push_back(this->status_of(place));
    this->messenger.send(from, report);
}

task_status target_task_manager::status_of(const task_place& place)
{
    const auto now = monotonic_clock::now();
    task_status status{.key = place.key, .target = place.target, .state = "not_held"};
    if (this->reservations.contains(place.key)) {
        status.state = "starting";
        return status;
    }
    const auto* target = this->registry.find(place.target);
    const auto found = this->targets.find(place.target);
    const bool is_current =
        target != nullptr && target->lease_held(now) && found != this->targets.end() &&
        found->second.epoch == target->lease_epoch && found->second.inventory_known;
    if (!is_current) {
        auto last = this->created_at;
        if (found != this->targets.end())
            last = std::max({last, found->second.last_renewal, found->second.last_start});
        status.idle_ms = to_milliseconds(now - last);
        return status;
    }
    const auto task = found->second.tasks.find(place.key.task);
    const bool observed = task != found->second.tasks.end() &&
                          task->second.inventory_entry.attempt == place.key.attempt;
    status.state = observed ? task->second.inventory_entry.state : "absent";
    if (observed) {
        status.result = task->second.inventory_entry.result;
        status.progress_ms = task->second.inventory_entry.progress_ms;
    }
    return status;
}

void target_task_manager::execute_order(const std::string& from, const task_order& order)
{
    this->driver_by_job[order.job] = from;
    for (const auto& place : order.tasks) {
        const auto* target = this->registry.find(place.target);
        const auto found = this->targets.find(place.target);
        if (target == nullptr || found == this->targets.end())
            continue;
        const auto task = found->second.tasks.find(place.key.task);
        if (task == found->second.tasks.end() ||
            task->second.inventory_entry.attempt != place.key.attempt)
            continue;
        found->second.last_poll = {};
        if (order.action == "stop")
            this->client.stop_task(target->vm.address, place.key.task, target->lease_epoch,
                                   [](const absl::Status&) {});
        else if (!task->second.inventory_entry.running())
            this->client.forget_task(target->vm.address, place.key.task,
                                     [](const absl::Status&) {});
    }
}

} // namespace verbenalever
