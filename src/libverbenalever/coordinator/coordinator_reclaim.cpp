// Room for urgent steps: runs of less urgent queues are stopped and run again later.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

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
    const placed_run* placed = nullptr;
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
bool same_team(const placed_run& placed, const workflow& owner)
{
    return placed.owner != nullptr && placed.owner->record.team == owner.record.team;
}

/// @return a plan for each task that could get room on @p target, at most @p wanted, cheapest first
std::vector<reclaim_plan> plans_for(fleet_target& target, const resources& need, int priority,
                                    std::uint32_t wanted)
{
    auto room = target.free_resources();
    // What is being stopped already will be free too.
    for (const auto& [task, placed] : target.tasks) {
        if (placed.stopping)
            room += placed.need;
    }
    std::vector<reclaim_plan> plans;
    reclaim_plan plan{.target = &target};
    auto victims = victims_on(target, priority);
    std::size_t next = 0;
    while (plans.size() < wanted) {
        if (need.fits_within(room)) {
            room -= need;
            plans.push_back(std::exchange(plan, {.target = &target}));
            continue;
        }
        if (next == victims.size())
            break;
        room += victims[next].placed->need;
        plan.lost += victims[next].lost;
        plan.victims.push_back(std::move(victims[next++]));
    }
    return plans;
}

} // namespace

void coordinator::reclaim_limit(workflow& owner, std::uint32_t number)
{
    const auto now = boot_time();
    auto& step = owner.steps[number];
    if (!owner.urgent() || step.rank > 0 || now < step.reclaim_after || this->reclaims_left == 0)
        return;
    --this->reclaims_left;
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
        this->reclaim_run(*target, chosen.task, owner, "limit");
    }
}

void coordinator::reclaim_run(fleet_target& target, const task_name& task, const workflow& by,
                              std::string_view reason)
{
    const auto found = target.tasks.find(task);
    if (found == target.tasks.end())
        return; // it has ended while others were reclaimed
    const auto& placed = found->second;
    this->around.count.add("runs_reclaimed");
    this->around.log.write("coordinator", "run_reclaimed",
                           {{"workflow", task.workflow},
                            {"step", task.step},
                            {"index", task.index},
                            {"target", target.report.name},
                            {"for", by.record.id},
                            {"reason", reason},
                            {"ran_ms", (boot_time() - placed.started_at).count()}});
    this->stop_run(target, task, placed.run);
}

bool coordinator::reclaim_room(workflow& owner, std::uint32_t number, const queue_definition* queue,
                               std::uint32_t wanted)
{
    const auto now = boot_time();
    auto& step = owner.steps[number];
    if (!owner.urgent() || step.rank > 0 || now < step.ready_since + reclaim_wait ||
        now < step.reclaim_after || this->reclaims_left == 0)
        return false;
    --this->reclaims_left;
    const auto& need = owner.record.spec.steps[number].need;
    std::vector<reclaim_plan> plans;
    std::vector<std::pair<double, fleet_target*>> unasked;
    for (const auto& [name, target] : this->targets) {
        if (!this->may_use(*target, owner, number))
            continue;
        auto found = plans_for(*target, need, owner.priority, wanted);
        if (found.empty())
            continue;
        const auto said = step.advice.find(name);
        const bool advised = queue != nullptr && queue->needs_advice;
        if (!advised || (said != step.advice.end() && said->second.allowed))
            std::ranges::move(found, std::back_inserter(plans));
        else if (said == step.advice.end())
            unasked.emplace_back(found.front().lost, target.get());
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
            this->reclaim_run(*plans[taken].target, chosen.task, owner, "room");
        }
    }
    return true;
}

} // namespace verbenalever
