#pragma once

#include "scheduling/resources.h"
#include "timeline/trace_event.h"
#include "timeline/trace_rules.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// Verifies the invariants of the system against the logged events of all processes. Events of
/// targets define which work ran; events of entry daemons define what was promised to callers.
///
/// Invariants: no target exceeds its capacity; a task runs on one target at a time; a request that
/// is not repeatable runs at most once; a request reported as not run did not run; no work starts
/// on a leaving target or in an availability zone that is out (after a grace period); no team
/// exceeds its limit in the rules.
class trace_checker {
public:
    explicit trace_checker(trace_rules rules);

    /// @param events all events in order of time
    /// @return a description of each violation; empty when there is none
    [[nodiscard]] std::vector<std::string> check(std::span<const trace_event> events);

    /// @return number of starts of tasks and requests in the events
    [[nodiscard]] std::int64_t starts() const;

private:
    using handler = void (trace_checker::*)(const trace_event&);

    /// Work that a target reports as running.
    struct running_work {
        std::string target;
        std::string team;
        resources demand;
    };

    /// State of one target, as far as the events show it.
    struct target_state {
        std::string availability_zone;
        resources capacity;
        resources used;
        std::int64_t leaving_since_us = 0;
    };

    void on_started(const trace_event& event);
    void on_killed(const trace_event& event);
    void on_task_running(const trace_event& event);
    void on_task_ended(const trace_event& event);
    void on_request_running(const trace_event& event);
    void on_request_ended(const trace_event& event);
    void on_request_taken(const trace_event& event);
    void on_request_not_run(const trace_event& event);
    void on_vm_state(const trace_event& event);
    void on_zone_state(const trace_event& event);

    void begin_work(const trace_event& event, const std::string& work, running_work running);
    void end_work(const trace_event& event, const std::string& work);
    void check_start_allowed(const trace_event& event, const target_state& target);
    void check_single_run(const trace_event& event, const std::string& request);
    void add_violation(const trace_event& event, std::string_view message);

    static const std::map<std::string_view, handler> handlers;

    trace_rules rules;
    std::map<std::string, target_state> targets;
    std::map<std::string, running_work> running;               ///< by kind, id and target
    std::map<std::string, std::set<std::string>> task_targets; ///< of each running task
    std::map<std::string, std::int64_t> slots_of_team;
    std::map<std::string, std::int64_t> zones_out_since_us;
    std::map<std::string, std::string> single_run_key; ///< by request that is not repeatable
    std::map<std::string, int> runs_by_single_run_key;
    std::set<std::string> started_requests;
    std::set<std::string> requests_reported_not_run;
    std::int64_t start_count = 0;
    std::vector<std::string> violations;
};

} // namespace verbenalever
