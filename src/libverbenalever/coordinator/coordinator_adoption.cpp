// Decides when what earlier coordinators placed on targets can no longer run there.

#include "coordination/commit_chain.h"
#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/event_log.h"

#include <algorithm>

namespace verbenalever {

milliseconds coordinator::longest_inherited_run(const awaited_placement& entry,
                                                bool restarted) const
{
    const auto longest_lease = target_session::longest_duration(this->env.longest_task_lease);
    // By then every lease renewed in earlier terms has expired; clocks may drift by 2 percent.
    auto longest = renewal_grace + this->env.task_lease * 102 / 100;
    // Until a target that was restarted is polled, and earlier terms are fenced off, it may execute
    // orders for its former life, see target_session::next_life_lease_expiry().
    if (restarted)
        longest = renewal_grace + target_session::late_execution_limit + longest_lease;
    // The restart may not have been noticed.
    const auto& placement = entry.placement;
    if (!placement.unanswered &&
        !this->inherited_batches.may_lack_answers(entry.term, placement.written_ms))
        return longest;
    const auto late = placement.written_ms == 0 ? this->env.unanswered_start_limit
                                                : milliseconds(placement.late_ms);
    if (late.count() == 0)
        return longest; // no start was sent: the run was adopted
    return std::max(longest, renewal_grace + late + longest_lease);
}

void coordinator::update_adoption()
{
    if (!this->loaded)
        return;
    const auto elapsed = boot_time() - this->started_at;
    std::vector<awaited_placement> expired_entries;
    struct lost_placements {
        std::string target;
        std::int64_t born_ms = 0;
        std::vector<placement_entry> placements;
        bool target_restarted = false;
    };
    std::vector<lost_placements> lost;
    for (auto& [name, entries] : this->awaited_placements) {
        const auto found = this->targets.find(name);
        lost_placements lost_here{.target = name};
        std::erase_if(entries, [&](const awaited_placement& entry) {
            const bool restarted = found != this->targets.end() &&
                                   found->second->report.born_ms > entry.placement.target_born_ms;
            if (elapsed < this->longest_inherited_run(entry, restarted))
                return false;
            expired_entries.push_back(entry);
            lost_here.born_ms = entry.placement.target_born_ms;
            lost_here.placements.push_back(entry.placement);
            lost_here.target_restarted = restarted;
            return true;
        });
        if (!lost_here.placements.empty())
            lost.push_back(std::move(lost_here));
    }
    std::erase_if(this->awaited_placements, [](const auto& known) { return known.second.empty(); });
    for (const auto& [target, born_ms, placed, restarted] : lost)
        this->count_inherited_crashes({target, born_ms}, placed, restarted);
    this->resolve_inherited_placements(expired_entries);
    if (!this->awaited_placements.empty() || this->inherited_placement_keys.empty())
        return;
    this->env.log.write("coordinator", "adopted", {{"ms", elapsed.count()}, {"term", this->term}});
    // The runs that were adopted are in this term's log by now.
    for (const auto& key : this->inherited_placement_keys) {
        this->chain.put(key, [] { return std::nullopt; }, false, {});
    }
    this->inherited_placement_keys.clear();
}

void coordinator::end_wait_for_poll(const std::string& target_name)
{
    const auto found = this->awaited_placements.find(target_name);
    if (found == this->awaited_placements.end())
        return;
    const auto entries = std::move(found->second);
    this->awaited_placements.erase(found);
    const auto born_ms = this->targets.at(target_name)->report.born_ms;
    std::vector<placement_entry> in_former_life;
    for (const auto& [placement, need, term] : entries) {
        if (placement.target_born_ms < born_ms)
            in_former_life.push_back(placement);
    }
    if (!in_former_life.empty())
        this->count_inherited_crashes({target_name, in_former_life.front().target_born_ms},
                                      in_former_life, true);
    this->resolve_inherited_placements(entries);
}

void coordinator::resolve_inherited_placements(const std::vector<awaited_placement>& entries)
{
    if (entries.empty())
        return;
    for (const auto& [placement, need, term] : entries) {
        auto* owner = this->find_workflow(placement.workflow);
        if (owner == nullptr)
            continue;
        auto& step = owner->steps[placement.step];
        auto& task = step.tasks[placement.index];
        if (task.current_phase != workflow_task::phase::awaiting_target ||
            --task.awaited_target_count > 0)
            continue;
        task.current_phase = workflow_task::phase::waiting;
        ++step.waiting_count;
        // Also when the workflow has been cancelled or has failed since.
        this->usage_by_team.remove_possible_run(owner->record.team, need);
        this->add_ready_steps(*owner);
    }
    this->request_scheduling_pass();
}

} // namespace verbenalever
