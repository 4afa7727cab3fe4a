// Room for urgent steps: runs of less urgent queues are stopped and run again later.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// An urgent step waits this long for room to come free by itself.
constexpr milliseconds reclaim_wait{60};
/// Least time between two reclaims for one step: a stop takes some hundred milliseconds.
constexpr milliseconds reclaim_gap{700};
/// A run that would lose more work than this is left alone.
constexpr milliseconds most_lost_work{1500};
/// Work that a run with checkpoints may lose: about the time between two of them.
constexpr milliseconds checkpoint_gap{700};
/// Targets named to the advisor when none has room.
constexpr std::size_t targets_asked = 8;

/// A run that could be stopped.
struct victim {
    task_name task;
    const placed_task* placed = nullptr;
    double lost = 0; ///< processor-milliseconds of work that would be done again
};

/// @return runs on @p target that a step of this priority may take the place of, cheapest first
std::vector<victim> victims_on(const fleet_target& target, int priority)
{
    const auto now = boot_time();
    std::vector<victim> found;
    for (const auto& [task, placed] : target.tasks) {
        if (placed.owner == nullptr || placed.stopping || !placed.started ||
            placed.owner->priority <= priority || is_final(placed.owner->state))
            continue;
        const auto& spec = placed.owner->record.spec.steps[task.step];
        if (spec.gang || spec.long_running)
            continue;
        auto lost = now - placed.started_at;
        if (spec.checkpointing)
            lost = std::min(lost, checkpoint_gap);
        if (lost <= most_lost_work)
            found.push_back({task, &placed,
                             static_cast<double>(lost.count()) *
                                 static_cast<double>(placed.need.processors_milli)});
    }
    std::ranges::sort(found, {}, &victim::lost);
    return found;
}

/// Runs whose end makes room for one task; empty when there are none.
struct reclaim_plan {
    fleet_target* target = nullptr;
    std::vector<victim> victims;
    double lost = 0;
};

/// @return whether two sets of runs are the same team's, so that one can make room for the other
/// within the team's limit
bool same_team(const placed_task& placed, const workflow& owner)
{
    return placed.owner != nullptr && placed.owner->record.team == owner.record.team;
}

reclaim_plan plan_for(fleet_target& target, const resources& need, int priority)
{
    reclaim_plan plan{.target = &target};
    auto room = target.free();
    // What is being stopped already will be free too.
    for (const auto& [task, placed] : target.tasks) {
        if (placed.stopping)
            room += placed.need;
    }
    for (auto& candidate : victims_on(target, priority)) {
        if (need.fits_within(room))
            break;
        room += candidate.placed->need;
        plan.lost += candidate.lost;
        plan.victims.push_back(std::move(candidate));
    }
    if (!need.fits_within(room))
        plan.target = nullptr;
    return plan;
}

} // namespace

void coordinator::reclaim_limit(workflow& owner, std::uint32_t number)
{
    const auto now = boot_time();
    auto& step = owner.steps[number];
    if (!owner.urgent() || step.rank > 0 || now < step.reclaim_after)
        return;
    step.reclaim_after = now + reclaim_gap;
    const auto& need = owner.record.spec.steps[number].need;
    std::vector<std::pair<victim, fleet_target*>> found;
    for (const auto& [name, target] : this->targets) {
        for (auto& candidate : victims_on(*target, owner.priority)) {
            if (same_team(*candidate.placed, owner))
                found.emplace_back(std::move(candidate), target.get());
        }
    }
    std::ranges::sort(found, {}, [](const auto& entry) { return entry.first.lost; });
    resources room;
    for (const auto& [chosen, target] : found) {
        if (need.processors_milli * step.waiting <= room.processors_milli &&
            need.memory_mb * step.waiting <= room.memory_mb)
            break;
        room += chosen.placed->need;
        this->around.count.add("runs_reclaimed");
        this->stop_run(*target, chosen.task, chosen.placed->run);
    }
}

bool coordinator::reclaim_room(workflow& owner, std::uint32_t number,
                               const queue_definition* queue, std::uint32_t wanted)
{
    const auto now = boot_time();
    auto& step = owner.steps[number];
    if (!owner.urgent() || step.rank > 0 || now < step.ready_since + reclaim_wait ||
        now < step.reclaim_after)
        return false;
    const auto& need = owner.record.spec.steps[number].need;
    std::vector<reclaim_plan> plans;
    std::vector<std::pair<double, fleet_target*>> unasked;
    for (const auto& [name, target] : this->targets) {
        if (!this->may_use(*target, owner, number))
            continue;
        auto plan = plan_for(*target, need, owner.priority);
        if (plan.target == nullptr)
            continue;
        const auto said = step.advice.find(name);
        const bool advised = queue != nullptr && queue->needs_advice;
        if (!advised || (said != step.advice.end() && said->second.allowed))
            plans.push_back(std::move(plan));
        else if (said == step.advice.end())
            unasked.emplace_back(plan.lost, target.get());
    }
    step.reclaim_after = now + reclaim_gap;
    if (plans.empty()) {
        std::ranges::sort(unasked);
        std::vector<fleet_target*> named;
        for (const auto& [lost, target] : unasked) {
            if (named.size() < targets_asked)
                named.push_back(target);
        }
        // Once the advisor has answered, room is made where it allows the step.
        if (!named.empty() && this->ask_advice(owner, number, *queue, named))
            step.reclaim_after = now;
        return !named.empty();
    }
    std::ranges::sort(plans, {}, &reclaim_plan::lost);
    for (std::size_t taken = 0; taken < plans.size() && taken < wanted; ++taken) {
        for (const auto& chosen : plans[taken].victims) {
            this->around.count.add("runs_reclaimed");
            this->stop_run(*plans[taken].target, chosen.task, chosen.placed->run);
        }
    }
    return true;
}

} // namespace verbenalever
