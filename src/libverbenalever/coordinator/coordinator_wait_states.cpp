// Tracks why steps wait, and logs the times of late workflows and the load.

#include "coordination/commit_chain.h"
#include "coordination/leadership.h"
#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <array>

namespace verbenalever {

void coordinator::update_wait_state(workflow& owner, std::uint32_t number)
{
    auto& step = owner.steps[number];
    using state = step_time_tracker::state;
    auto wait_state = state::queued;
    if (!this->election.is_lease_valid() || this->chain.stalled() || !this->list_is_recent())
        wait_state = state::store_away;
    else if (step.open_questions > 0)
        wait_state = state::advice;
    else if (this->evaluation_time < step.next_question_at)
        wait_state = state::advisor_busy;
    else if (this->tasks_within_team_limit(owner, owner.record.spec.steps[number].need,
                                           step.waiting_count) == 0)
        wait_state = state::team_limit;
    else if (step.time_tracker.waits_for_capacity())
        wait_state =
            step.time_tracker.current_state(); // computing it again would iterate over many targets
    else
        wait_state = this->scarcest_resource(owner, number);
    step.time_tracker.enter(wait_state, boot_time());
}

step_time_tracker::state coordinator::scarcest_resource(const workflow& owner,
                                                        std::uint32_t number) const
{
    const auto& need = owner.record.spec.steps[number].need;
    std::int64_t by_processors = 0;
    std::int64_t by_memory = 0;
    for (const auto& [name, advice] : owner.steps[number].advice) {
        const auto target = this->targets.find(name);
        if (!advice.allowed || target == this->targets.end())
            continue;
        const auto free = target->second->free_resources();
        by_processors +=
            fleet_target::count_fitting(free, {.processors_milli = need.processors_milli});
        by_memory += fleet_target::count_fitting(free, {.memory_mb = need.memory_mb});
    }
    return by_memory < by_processors ? step_time_tracker::state::memory
                                     : step_time_tracker::state::processors;
}

void coordinator::log_workflow_end(const workflow& owner)
{
    // A workflow that completed in time is only counted, by end_workflow().
    if (owner.state == workflow_state::completed && owner.ended_at <= owner.due_at)
        return;
    const bool started_here = owner.first_start_at.count() != 0;
    std::size_t failures = 0;
    for (const auto& step : owner.steps) {
        for (const auto& task : step.tasks)
            failures += task.failed_runs.size();
    }
    const auto time_in = [&owner](step_time_tracker::state which) {
        milliseconds sum{0};
        for (const auto& step : owner.steps)
            sum += step.time_tracker.time_in(which);
        return sum.count();
    };
    using state = step_time_tracker::state;
    const auto before_this_term = std::max(milliseconds(0), this->started_at - owner.accepted_at);
    this->env.log.write(
        "coordinator", "workflow_ended",
        {{"workflow", owner.record.id},
         {"state", state_name(owner.state)},
         {"queue", owner.record.queue},
         {"team", owner.record.team},
         {"waited_ms", started_here ? (owner.first_start_at - owner.accepted_at).count() : -1},
         {"took_ms", (boot_time() - owner.accepted_at).count()},
         {"objective_ms", owner.objective.count()},
         {"failures", failures},
         {"steps", owner.steps.size()},
         {"tasks", owner.steps.empty() ? 0 : owner.steps[0].tasks.size()},
         {"earlier_coordinator_ms", before_this_term.count()},
         {"queued_ms", time_in(state::queued)},
         {"store_away_ms", time_in(state::store_away)},
         {"team_limit_ms", time_in(state::team_limit)},
         {"advisor_busy_ms", time_in(state::advisor_busy)},
         {"advice_ms", time_in(state::advice)},
         {"processors_ms", time_in(state::processors)},
         {"memory_ms", time_in(state::memory)},
         {"run_ms", time_in(state::run)},
         {"run_again_ms", time_in(state::run_again)},
         {"end_kept_ms", (boot_time() - owner.ended_at).count()}});
}

void coordinator::log_load()
{
    std::int64_t used_processors = 0;
    std::int64_t used_memory = 0;
    std::size_t usable = 0;
    std::size_t runs = 0;
    for (const auto& [name, target] : this->targets) {
        used_processors += target->used.processors_milli;
        used_memory += target->used.memory_mb;
        runs += target->tasks.size();
        usable += target->usable(boot_time()) ? 1 : 0;
    }
    std::map<int, int> ready;
    std::array<int, step_time_tracker::state_count> waits{};
    for (const auto& [priority, rank, due, id, number] : this->ready_steps) {
        const auto state = this->workflows.at(id)->steps[number].time_tracker.current_state();
        ++ready[priority];
        ++waits[static_cast<std::size_t>(state)];
    }
    using state = step_time_tracker::state;
    const auto waiting = [&waits](state which) { return waits[static_cast<std::size_t>(which)]; };
    this->env.log.write("coordinator", "load",
                        {{"targets", this->targets.size()},
                         {"usable", usable},
                         {"runs", runs},
                         {"processors_used", used_processors / 1000},
                         {"processors_usable", this->fleet_capacity.processors_milli / 1000},
                         {"ready_priority_0", ready[0]},
                         {"ready_priority_1", ready[1]},
                         {"ready_priority_2", ready[2]},
                         {"memory_used_gb", used_memory / 1024},
                         {"memory_usable_gb", this->fleet_capacity.memory_mb / 1024},
                         {"wait_team_limit", waiting(state::team_limit)},
                         {"wait_advisor_busy", waiting(state::advisor_busy)},
                         {"wait_advice", waiting(state::advice)},
                         {"wait_processors", waiting(state::processors)},
                         {"wait_memory", waiting(state::memory)},
                         {"record_wait_ms", this->chain.expected_commit_delay().count()},
                         {"advisor_questions", this->unlogged_questions},
                         {"advisor_busy_ms", this->unlogged_question_time.count()}});
    this->unlogged_questions = 0;
    this->unlogged_question_time = milliseconds(0);
    this->log_past_use();
}

} // namespace verbenalever
