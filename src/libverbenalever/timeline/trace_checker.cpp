#include "timeline/trace_checker.h"

#include <fmt/format.h>

namespace verbenalever {

namespace {

resources demand_from(const trace_event& event)
{
    return {.slots = event.number("slots"),
            .processors_milli = event.number("processors_milli"),
            .memory_mb = event.number("memory_mb"),
            .accelerators = event.number("accelerators")};
}

std::string make_work_key(std::string_view kind, std::string_view id, std::string_view target)
{
    return fmt::format("{} {} on {}", kind, id, target);
}

} // namespace

const std::map<std::string_view, trace_checker::handler> trace_checker::handlers = {
    {"started", &trace_checker::on_started},
    {"killed", &trace_checker::on_killed},
    {"task_running", &trace_checker::on_task_running},
    {"task_ended", &trace_checker::on_task_ended},
    {"request_running", &trace_checker::on_request_running},
    {"request_ended", &trace_checker::on_request_ended},
    {"request_taken", &trace_checker::on_request_taken},
    {"request_not_run", &trace_checker::on_request_not_run},
    {"vm_state", &trace_checker::on_vm_state},
    {"availability_zone_state", &trace_checker::on_zone_state},
};

trace_checker::trace_checker(trace_rules rules) : rules(std::move(rules)) {}

std::vector<std::string> trace_checker::check(std::span<const trace_event> events)
{
    // `request_taken`, which maps a request to the id given by its caller, may be logged just after
    // the start of the run. These events are therefore read first.
    for (const auto& event : events) {
        if (event.event == "request_taken")
            this->on_request_taken(event);
    }
    for (const auto& event : events) {
        if (const auto found = trace_checker::handlers.find(event.event);
            found != trace_checker::handlers.end())
            (this->*found->second)(event);
    }
    for (const auto& request : this->requests_reported_not_run) {
        if (this->started_requests.contains(request))
            this->violations.push_back(
                fmt::format("request {} ran although its caller received 'not_run'", request));
    }
    return this->violations;
}

std::int64_t trace_checker::starts() const
{
    return this->start_count;
}

void trace_checker::on_started(const trace_event& event)
{
    if (event.slice != "target")
        return;
    auto& target = this->targets[event.process];
    target.capacity = demand_from(event);
    target.availability_zone = event.text("availability_zone");
}

void trace_checker::on_killed(const trace_event& event)
{
    std::erase_if(this->running, [this, &event](const auto& entry) {
        if (entry.second.target != event.process)
            return false;
        this->slots_of_team[entry.second.team] -= entry.second.demand.slots;
        return true;
    });
    for (auto& [task, running_on] : this->task_targets)
        running_on.erase(event.process);
    this->targets[event.process].used = {};
}

void trace_checker::on_task_running(const trace_event& event)
{
    const auto task = event.text("task");
    auto& running_on = this->task_targets[task];
    running_on.insert(event.process);
    if (running_on.size() > 1)
        this->add_violation(
            event, fmt::format("task {} runs on {} targets at once", task, running_on.size()));
    this->begin_work(
        event, make_work_key("task", task, event.process),
        {.target = event.process, .team = event.text("team"), .demand = demand_from(event)});
}

void trace_checker::on_task_ended(const trace_event& event)
{
    const auto task = event.text("task");
    this->task_targets[task].erase(event.process);
    this->end_work(event, make_work_key("task", task, event.process));
}

void trace_checker::on_request_running(const trace_event& event)
{
    const auto request = event.text("request");
    this->started_requests.insert(request);
    this->check_single_run(event, request);
    this->begin_work(
        event, make_work_key("request", request, event.process),
        {.target = event.process, .team = event.text("team"), .demand = resources{.slots = 1}});
}

void trace_checker::on_request_ended(const trace_event& event)
{
    this->end_work(event, make_work_key("request", event.text("request"), event.process));
}

void trace_checker::on_request_taken(const trace_event& event)
{
    if (event.flag("repeatable"))
        return;
    const auto request = event.text("request");
    const auto caller_id = event.text("caller_id");
    this->single_run_key[request] =
        caller_id.empty() ? request : fmt::format("{}/{}", event.text("team"), caller_id);
}

void trace_checker::on_request_not_run(const trace_event& event)
{
    this->requests_reported_not_run.insert(event.text("request"));
}

void trace_checker::on_vm_state(const trace_event& event)
{
    const bool leaving = event.text("state") == "leaving";
    this->targets[event.text("vm")].leaving_since_us = leaving ? event.mono_us : 0;
}

void trace_checker::on_zone_state(const trace_event& event)
{
    const auto zone = event.text("availability_zone");
    if (event.text("state") == "out")
        this->zones_out_since_us.emplace(zone, event.mono_us);
    else
        this->zones_out_since_us.erase(zone);
}

void trace_checker::begin_work(const trace_event& event, const std::string& work,
                               running_work running)
{
    ++this->start_count;
    auto& target = this->targets[event.process];
    target.used += running.demand;
    if (!target.used.fits_within(target.capacity))
        this->add_violation(event,
                            fmt::format("{} has {} of {} slots and {} of {} MB in use",
                                        event.process, target.used.slots, target.capacity.slots,
                                        target.used.memory_mb, target.capacity.memory_mb));
    this->check_start_allowed(event, target);
    auto& slots = this->slots_of_team[running.team];
    slots += running.demand.slots;
    if (const auto limit = this->rules.slot_limits.find(running.team);
        limit != this->rules.slot_limits.end() && slots > limit->second)
        this->add_violation(event, fmt::format("team {} has {} slots running, its limit is {}",
                                               running.team, slots, limit->second));
    this->running.insert_or_assign(work, std::move(running));
}

void trace_checker::end_work(const trace_event& event, const std::string& work)
{
    const auto found = this->running.find(work);
    if (found == this->running.end())
        return;
    this->targets[event.process].used -= found->second.demand;
    this->slots_of_team[found->second.team] -= found->second.demand.slots;
    this->running.erase(found);
}

void trace_checker::check_start_allowed(const trace_event& event, const target_state& target)
{
    const auto grace_us = microseconds(this->rules.grace).count();
    if (target.leaving_since_us != 0 && event.mono_us > target.leaving_since_us + grace_us)
        this->add_violation(
            event, fmt::format("work started on target {}, which is leaving", event.process));
    if (const auto out = this->zones_out_since_us.find(target.availability_zone);
        out != this->zones_out_since_us.end() && event.mono_us > out->second + grace_us)
        this->add_violation(event, fmt::format("work started in availability zone {}, which is out",
                                               target.availability_zone));
}

void trace_checker::check_single_run(const trace_event& event, const std::string& request)
{
    const auto key = this->single_run_key.find(request);
    if (key != this->single_run_key.end() && ++this->runs_by_single_run_key[key->second] > 1)
        this->add_violation(event,
                            fmt::format("request {} is not repeatable and ran again", key->second));
}

void trace_checker::add_violation(const trace_event& event, std::string_view message)
{
    this->violations.push_back(fmt::format("at {} us: {}", event.mono_us, message));
}

} // namespace verbenalever
