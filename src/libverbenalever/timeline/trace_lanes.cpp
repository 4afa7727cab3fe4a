#include "timeline/trace_lanes.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace verbenalever {

namespace {

const std::set<std::string_view> fault_events = {"killed",
                                                 "peer_silent",
                                                 "connection_silent",
                                                 "faults_set",
                                                 "reply_lost",
                                                 "rule_set",
                                                 "request_outcome_unknown",
                                                 "change_in_doubt",
                                                 "configuration_unreadable"};

const std::set<std::string_view> state_events = {"started",
                                                 "stopped",
                                                 "drain_started",
                                                 "lease_acquired",
                                                 "lease_released",
                                                 "peer_alive",
                                                 "availability_zone_state",
                                                 "configuration_in_force",
                                                 "job_accepted",
                                                 "restriction_in_force",
                                                 "change_accepted"};

std::string work_key(const trace_event& event)
{
    const auto task = event.text("task");
    return event.process + " " + (task.empty() ? event.text("request") : task);
}

/// @return whether the event reports a fault, a killed process or a VM that is not live
bool is_fault(const trace_event& event)
{
    return fault_events.contains(event.event) ||
           (event.event == "vm_state" && event.text("state") != "live");
}

std::string title_of(const trace_event& event)
{
    std::string title = event.event;
    for (const auto& [name, value] : event.fields.items()) {
        if (name != "mono_us" && name != "wall_us" && name != "process" && name != "slice" &&
            name != "event")
            title +=
                fmt::format(" {}={}", name,
                            value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }
    return title;
}

} // namespace

trace_lanes::trace_lanes(std::span<const trace_event> events)
{
    std::set<std::string> processes;
    for (const auto& event : events)
        processes.insert(event.process);
    for (const auto& process : processes)
        this->lanes.push_back({.process = process, .bars = {}, .marks = {}});
    if (!events.empty()) {
        this->first_us = events.front().mono_us;
        this->last_us = events.back().mono_us;
    }
    for (const auto& event : events) {
        auto& process_lane =
            *std::ranges::lower_bound(this->lanes, event.process, {}, &lane::process);
        if (event.event == "task_running" || event.event == "request_running")
            this->begin_run(event, process_lane);
        else if (event.event == "task_ended" || event.event == "request_ended")
            this->end_run(event, process_lane);
        else if (is_fault(event) || state_events.contains(event.event))
            process_lane.marks.push_back(
                {.at_us = event.mono_us, .fault = is_fault(event), .title = title_of(event)});
        if (event.event == "killed")
            this->end_all_runs(process_lane, event.mono_us);
    }
}

const std::vector<trace_lanes::lane>& trace_lanes::all() const
{
    return this->lanes;
}

std::int64_t trace_lanes::start_us() const
{
    return this->first_us;
}

std::int64_t trace_lanes::span_us() const
{
    return this->last_us - this->first_us;
}

void trace_lanes::begin_run(const trace_event& event, lane& process_lane)
{
    std::vector<bool> row_in_use(process_lane.rows + 1, false);
    for (const auto& [work, index] : this->running) {
        if (work.starts_with(process_lane.process + " "))
            row_in_use[process_lane.bars[index].row] = true;
    }
    const auto row =
        static_cast<std::size_t>(std::ranges::find(row_in_use, false) - row_in_use.begin());
    process_lane.rows = std::max(process_lane.rows, row + 1);
    this->running[work_key(event)] = process_lane.bars.size();
    process_lane.bars.push_back({.start_us = event.mono_us,
                                 .end_us = this->last_us,
                                 .row = row,
                                 .team = event.text("team"),
                                 .title = title_of(event)});
}

void trace_lanes::end_run(const trace_event& event, lane& process_lane)
{
    if (const auto found = this->running.find(work_key(event)); found != this->running.end()) {
        process_lane.bars[found->second].end_us = event.mono_us;
        this->running.erase(found);
    }
}

void trace_lanes::end_all_runs(lane& process_lane, std::int64_t at_us)
{
    std::erase_if(this->running, [&process_lane, at_us](const auto& run) {
        if (!run.first.starts_with(process_lane.process + " "))
            return false;
        process_lane.bars[run.second].end_us = at_us;
        return true;
    });
}

} // namespace verbenalever
