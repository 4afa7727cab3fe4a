#pragma once

#include "coordination/leadership.h"
#include "coordinator/coordinator.h"
#include "loop/timer.h"
#include "ports/fleet_configuration.h"
#include "timeline/counters.h"

#include <functional>
#include <memory>
#include <string>

namespace verbenalever {

class event_log;
class event_loop;
class fake_store;
class fake_targets;

/// Runs for election in memory and has a coordinator while it is elected. For tests.
class coordinating_process {
public:
    /// @param directory    source of the target list for this process
    /// @param before_start called with each new coordinator before it starts
    coordinating_process(event_loop& loop, fake_store& store, fake_targets& targets,
                         target_directory& directory,
                         std::shared_ptr<const fleet_configuration> configuration,
                         const event_log& log, const std::string& vm,
                         std::function<void(coordinator&)> before_start = {});
    ~coordinating_process();
    coordinating_process(const coordinating_process&) = delete;
    coordinating_process& operator=(const coordinating_process&) = delete;

    counters metrics;
    std::unique_ptr<coordinator> active_coordinator;     ///< null while not elected
    bool all_members_connected = false;                  ///< reported to the coordinator
    milliseconds task_lease{1500};                       ///< used by the next coordinator
    milliseconds longest_task_lease{0};                  ///< the same; 0: task_lease
    milliseconds unanswered_start_limit{2500};           ///< the same
    milliseconds usage_half_life{0};                     ///< the same
    milliseconds past_use_store_interval{10'000};        ///< the same
    admission_policy admission = admission_policy::none; ///< the same
    /// The same.
    advisor_question_policy advisor_questions = advisor_question_policy::minimal;
    preemption_policy preemption = preemption_policy::any; ///< the same

private:
    void start_coordinator(std::int64_t term, commit_chain& chain);
    void stop_coordinator();

    event_loop& loop;
    fake_store& store;
    fake_targets& targets;
    target_directory& directory;
    std::shared_ptr<const fleet_configuration> configuration;
    const event_log& log;
    std::function<void(coordinator&)> before_start;
    std::unique_ptr<coordinator> previous_coordinator; ///< alive until its callers return
    timer destroy_timer;

public:
    leadership election;
};

} // namespace verbenalever
