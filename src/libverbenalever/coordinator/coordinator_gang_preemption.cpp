// Preemption for gangs: less urgent runs that resume from a checkpoint make room for a whole gang.

#include "coordinator/coordinator.h"
#include "coordinator/preemption_plan.h"

#include <algorithm>
#include <iterator>

namespace verbenalever {

namespace {

/// Wait before a gang for which too few runs could be stopped looks for others.
constexpr milliseconds retry_wait{250};
/// A ticket that expires sooner is renewed while the runs stop, which takes some hundred
/// milliseconds.
constexpr milliseconds min_ticket_life{1000};

} // namespace

bool coordinator::preempt_for_gang(workflow& owner, std::uint32_t step_index,
                                   const queue_definition& queue, std::uint32_t wanted)
{
    auto& step = owner.steps[step_index];
    if (step.rank > 0 || this->evaluation_time < step.next_preemption_at)
        return false;
    auto plans = this->plan_gang_preemptions(owner, step_index, wanted, this->env.preemption);
    if (plans.empty()) {
        step.next_preemption_at = this->evaluation_time + retry_wait;
        this->count_avoided_for_gang(owner, step_index, wanted);
        return false;
    }
    std::vector<fleet_target*> chosen;
    bool tickets_valid = true;
    for (const auto& plan : plans) {
        chosen.push_back(plan.target);
        tickets_valid = tickets_valid && step.advice[plan.target->report.name].valid_until >
                                             this->evaluation_time + min_ticket_life;
    }
    if (!tickets_valid &&
        !this->ask_advisor(owner, step_index, queue, without_duplicates(chosen), true))
        return true;
    // An answer that came within the call has scheduled the step already.
    if (!tickets_valid && (step.open_questions == 0 || !step.in_ready_list))
        return true;
    const auto& need = owner.record.spec.steps[step_index].need;
    this->count_avoided_for_gang(owner, step_index, wanted);
    this->reserve(step, need, chosen);
    this->carry_out(plans, need, owner, "gang");
    return true;
}

void coordinator::count_avoided_for_gang(const workflow& owner, std::uint32_t step_index,
                                         std::uint32_t wanted)
{
    if (this->env.preemption == preemption_policy::least)
        this->count_avoided_stops(avoided_stops(
            this->plan_gang_preemptions(owner, step_index, wanted, preemption_policy::any)));
}

std::vector<preemption_plan> coordinator::plan_gang_preemptions(const workflow& owner,
                                                                std::uint32_t step_index,
                                                                std::uint32_t wanted,
                                                                preemption_policy policy) const
{
    const auto& spec = owner.record.spec.steps[step_index];
    const auto per_target =
        spec.max_per_target == 0 ? wanted : std::min(wanted, spec.max_per_target);
    const auto rule = this->rule_for(owner, true);
    std::vector<preemption_plan> plans;
    for (const auto& [name, answer] : owner.steps[step_index].advice) {
        if (!answer.allowed)
            continue;
        const auto known = this->targets.find(name);
        if (known == this->targets.end() || !this->can_use(*known->second, owner, step_index))
            continue;
        std::ranges::move(plan_preemptions(*known->second, spec.need,
                                           preemptible_runs(*known->second, rule), per_target,
                                           policy),
                          std::back_inserter(plans));
    }
    if (plans.size() < wanted)
        return {};
    std::ranges::stable_sort(plans, {}, &preemption_plan::lost_work);
    plans.resize(wanted);
    return plans;
}

} // namespace verbenalever
