#pragma once

#include "testing/coordinating_process.h"
#include "testing/fake_store.h"
#include "testing/fake_targets.h"
#include "testing/loop_fixture.h"
#include "timeline/event_log.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {

/// Coordinating processes, targets and a store in memory; configured with the queues "urgent" and
/// "slow" and one team.
class coordinator_fixture : public loop_fixture {
protected:
    using process = coordinating_process;

    coordinator_fixture()
    {
        auto initial = std::make_shared<fleet_configuration>();
        initial->version = 1;
        initial->queues.push_back({.name = "urgent",
                                   .pool = "pool",
                                   .priority = 0,
                                   .attempts = 3,
                                   .latency_objective = milliseconds(5000)});
        initial->queues.push_back({.name = "slow", .pool = "pool", .priority = 2, .attempts = 3});
        initial->teams.push_back({.name = "team", .keys = {}, .weight = 1, .limit = {}});
        this->configuration = initial;
    }

    /// Start a process and run the loop until it is elected coordinator.
    process& elect(const std::string& vm)
    {
        this->processes.push_back(std::make_unique<process>(this->loop, this->store, this->targets,
                                                            this->targets, this->configuration,
                                                            this->log, vm));
        this->processes.back()->task_lease = this->task_lease;
        this->processes.back()->longest_task_lease = this->longest_task_lease;
        this->processes.back()->unanswered_start_limit = this->unanswered_start_limit;
        this->processes.back()->usage_half_life = this->usage_half_life;
        this->processes.back()->past_use_store_interval = this->past_use_store_interval;
        this->processes.back()->admission = this->admission;
        this->processes.back()->advisor_questions = this->advisor_questions;
        this->processes.back()->preemption = this->preemption;
        this->run_for(milliseconds(300));
        EXPECT_NE(this->processes.back()->active_coordinator, nullptr);
        return *this->processes.back();
    }

    /// Destroy a process without a graceful stop and expire the coordinator's lease.
    void kill(process& killed)
    {
        std::erase_if(this->processes, [&killed](const auto& one) { return one.get() == &killed; });
        this->store.expire(this->store.lease_of_key["v/leader"]);
    }

    /// @param cores processors of each task
    /// @return a step of @p count tasks
    static step_spec tasks(std::uint32_t count, std::int64_t cores, bool gang = false)
    {
        return {.count = count,
                .need = {.processors_milli = cores * 1000, .memory_mb = 100},
                .estimated_ms = 50,
                .gang = gang};
    }

    /// Submit a workflow; its outcome is stored in this->outcomes.
    void submit(process& to, const std::string& id, std::vector<step_spec> steps,
                const std::string& queue = "urgent", const std::string& team = "team")
    {
        this->targets.need_by_workflow[id] = steps.front().need;
        to.active_coordinator->submit(
            {id, queue, team, {.payload = "p", .steps = std::move(steps)}},
            [this, id](call_outcome outcome, std::int64_t) { this->outcomes[id] = outcome; });
    }

    workflow_state state(process& of, const std::string& id)
    {
        workflow_state found = workflow_state::queued;
        of.active_coordinator->status(id,
                                      [&found](call_outcome, workflow_state now) { found = now; });
        return found;
    }

    fake_store store{this->loop};
    fake_targets targets{this->loop};
    event_log log{"test"};
    std::shared_ptr<fleet_configuration> configuration;
    milliseconds task_lease{1500};                ///< of processes that are elected from now on
    milliseconds longest_task_lease{0};           ///< the same
    milliseconds unanswered_start_limit{2500};    ///< the same
    milliseconds usage_half_life{0};              ///< the same
    milliseconds past_use_store_interval{10'000}; ///< the same
    admission_policy admission = admission_policy::none; ///< the same
    /// The same.
    advisor_question_policy advisor_questions = advisor_question_policy::minimal;
    preemption_policy preemption = preemption_policy::any; ///< the same
    std::map<std::string, call_outcome> outcomes;
    std::vector<std::unique_ptr<process>> processes;
};

} // namespace verbenalever
