// Where time goes: why steps wait, what late workflows have waited for, the load.

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
    using state = step_clock::state;
    auto waits_for = state::queued;
    if (!this->office.certain() || this->chain.stalled())
        waits_for = state::store_away;
    else if (step.asking > 0)
        waits_for = state::advice;
    else if (this->weighing_at < step.ask_after)
        waits_for = state::advisor_busy;
    else if (this->within_limit(owner, owner.record.spec.steps[number].need, step.waiting) == 0)
        waits_for = state::team_limit;
    else if (step.clock.waits_for_room())
        waits_for = step.clock.now_in(); // looked up once: it takes a walk over all known targets
    else
        waits_for = this->scarcest_resource(owner, number);
    step.clock.enter(waits_for, boot_time());
}

step_clock::state coordinator::scarcest_resource(const workflow& owner, std::uint32_t number) const
{
    const auto& need = owner.record.spec.steps[number].need;
    std::int64_t by_processors = 0;
    std::int64_t by_memory = 0;
    for (const auto& [name, said] : owner.steps[number].advice) {
        const auto known = this->targets.find(name);
        if (!said.allowed || known == this->targets.end())
            continue;
        const auto room = known->second->free_resources();
        by_processors +=
            fleet_target::count_fitting(room, {.processors_milli = need.processors_milli});
        by_memory += fleet_target::count_fitting(room, {.memory_mb = need.memory_mb});
    }
    return by_memory < by_processors ? step_clock::state::memory : step_clock::state::processors;
}

void coordinator::log_workflow_end(const workflow& owner)
{
    // One that ended well and in time is counted only.
    if (owner.state == workflow_state::completed && owner.ended_at <= owner.due)
        return;
    const bool here = owner.began_at.count() != 0;
    std::size_t failures = 0;
    for (const auto& step : owner.steps) {
        for (const auto& task : step.tasks)
            failures += task.failed_runs.size();
    }
    const auto spent = [&owner](step_clock::state which) {
        milliseconds sum{0};
        for (const auto& step : owner.steps)
            sum += step.clock.in(which);
        return sum.count();
    };
    using state = step_clock::state;
    const auto before = std::max(milliseconds(0), this->began_at - owner.accepted_at);
    this->around.log.write("coordinator", "workflow_ended",
                           {{"workflow", owner.record.id},
                            {"state", state_name(owner.state)},
                            {"queue", owner.record.queue},
                            {"team", owner.record.team},
                            {"waited_ms", here ? (owner.began_at - owner.accepted_at).count() : -1},
                            {"took_ms", (boot_time() - owner.accepted_at).count()},
                            {"objective_ms", owner.objective.count()},
                            {"failures", failures},
                            {"steps", owner.steps.size()},
                            {"tasks", owner.steps.empty() ? 0 : owner.steps[0].tasks.size()},
                            {"earlier_coordinator_ms", before.count()},
                            {"queued_ms", spent(state::queued)},
                            {"store_away_ms", spent(state::store_away)},
                            {"team_limit_ms", spent(state::team_limit)},
                            {"advisor_busy_ms", spent(state::advisor_busy)},
                            {"advice_ms", spent(state::advice)},
                            {"processors_ms", spent(state::processors)},
                            {"memory_ms", spent(state::memory)},
                            {"run_ms", spent(state::run)},
                            {"run_again_ms", spent(state::run_again)},
                            {"end_kept_ms", (boot_time() - owner.ended_at).count()}});
}

void coordinator::log_load()
{
    std::int64_t used = 0;
    std::int64_t memory = 0;
    std::size_t usable = 0;
    std::size_t runs = 0;
    for (const auto& [name, target] : this->targets) {
        used += target->used.processors_milli;
        memory += target->used.memory_mb;
        runs += target->tasks.size();
        usable += target->usable(boot_time()) ? 1 : 0;
    }
    std::map<int, int> ready;
    std::array<int, step_clock::state_count> waits{};
    for (const auto& [priority, rank, due, id, number] : this->ready_steps) {
        const auto state = this->workflows.at(id)->steps[number].clock.now_in();
        ++ready[priority];
        ++waits[static_cast<std::size_t>(state)];
    }
    using state = step_clock::state;
    const auto waiting = [&waits](state which) { return waits[static_cast<std::size_t>(which)]; };
    this->around.log.write("coordinator", "load",
                           {{"targets", this->targets.size()},
                            {"usable", usable},
                            {"runs", runs},
                            {"processors_used", used / 1000},
                            {"processors_usable", this->fleet.processors_milli / 1000},
                            {"ready_priority_0", ready[0]},
                            {"ready_priority_1", ready[1]},
                            {"ready_priority_2", ready[2]},
                            {"memory_used_gb", memory / 1024},
                            {"memory_usable_gb", this->fleet.memory_mb / 1024},
                            {"wait_team_limit", waiting(state::team_limit)},
                            {"wait_advisor_busy", waiting(state::advisor_busy)},
                            {"wait_advice", waiting(state::advice)},
                            {"wait_processors", waiting(state::processors)},
                            {"wait_memory", waiting(state::memory)},
                            {"record_wait_ms", this->chain.expected_wait().count()}});
}

} // namespace verbenalever
