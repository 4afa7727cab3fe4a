// Which targets a step may use.

#include "coordinator/coordinator.h"
#include "coordinator/step_placer.h"
#include "timeline/counters.h"

#include <algorithm>
#include <optional>

namespace verbenalever {

namespace {

/// A ticket that expires sooner than this is not used, since the start order takes time to arrive.
constexpr milliseconds ticket_expiry_margin{150};
/// Targets, other than those that the advisor has allowed, that suffice for a step when they have
/// ample capacity. A gang asks about at most this many at once.
constexpr std::size_t max_new_candidates = 400;

/// @return whether a gang of lower order is asking the advisor about this target: it would use the
/// target first, so a question of another gang would most likely be wasted
bool has_better_claim(const fleet_target& target, int order)
{
    return !target.gang_claims.empty() && *target.gang_claims.begin() < order;
}

/// @return whether the advisor has not been asked about the target
bool is_new(const step_candidate& candidate)
{
    return candidate.advice_state == step_candidate::advice_permission::not_asked;
}

} // namespace

bool coordinator::can_use(const fleet_target& target, const workflow& owner,
                          std::uint32_t step_index) const
{
    return target.usable(this->evaluation_time) && !this->in_unusable_zone(target) &&
           this->is_suitable(target, owner, step_index);
}

bool coordinator::matches(const fleet_target& target, const workflow& owner,
                          std::uint32_t step_index)
{
    const auto& report = target.report;
    const auto& label = owner.record.spec.steps[step_index].required_label;
    return report.pool == owner.pool &&
           (label.empty() || std::ranges::find(report.labels, label) != report.labels.end());
}

bool coordinator::is_suitable(const fleet_target& target, const workflow& owner,
                              std::uint32_t step_index) const
{
    const auto& avoided_until = owner.steps[step_index].avoided_until;
    const auto failed = avoided_until.find(target.report.name);
    return matches(target, owner, step_index) &&
           (failed == avoided_until.end() || this->evaluation_time >= failed->second);
}

std::optional<step_candidate> coordinator::evaluate_target(fleet_target& target,
                                                           const workflow& owner,
                                                           std::uint32_t step_index) const
{
    const auto now = this->evaluation_time;
    const auto& spec = owner.record.spec.steps[step_index];
    const auto free_capacity = target.free_resources();
    step_candidate candidate{.target = &target,
                             .max_tasks = fleet_target::count_fitting(free_capacity, spec.need),
                             .free_processors_milli = free_capacity.processors_milli};
    if (candidate.max_tasks == 0 || !target.usable(now) ||
        !this->is_suitable(target, owner, step_index))
        return std::nullopt;
    if (spec.max_per_target > 0) {
        const auto tasks_on_target = target.count_tasks(owner.record.id, step_index);
        candidate.max_tasks =
            std::min(candidate.max_tasks,
                     spec.max_per_target - std::min(spec.max_per_target, tasks_on_target));
        if (candidate.max_tasks == 0)
            return std::nullopt;
    }
    if (!owner.definition->needs_advice)
        return candidate;
    const auto& advice = owner.steps[step_index].advice;
    const auto answer = advice.find(target.report.name);
    if (answer == advice.end()) {
        if (spec.gang && has_better_claim(target, owner.gang_order(step_index)))
            return std::nullopt;
        candidate.advice_state = step_candidate::advice_permission::not_asked;
    }
    else if (!answer->second.allowed)
        return std::nullopt;
    else if (answer->second.valid_until < now + ticket_expiry_margin)
        candidate.advice_state = step_candidate::advice_permission::ticket_expired;
    return candidate;
}

std::vector<step_candidate> coordinator::find_candidates(const workflow& owner,
                                                         std::uint32_t step_index) const
{
    if (!owner.definition->needs_advice)
        return this->find_tightest_candidates(owner, step_index);
    const auto& need = owner.record.spec.steps[step_index].need;
    const auto waiting = owner.steps[step_index].waiting_count;
    const auto ample_tasks = step_placer::ample_capacity_factor * waiting;
    std::vector<step_candidate> found;
    std::size_t new_count = 0;
    std::uint64_t new_tasks = 0; ///< tasks that fit on the new candidates
    std::int64_t weighed = 0;
    bool ended_early = false;
    for (const auto& entry : this->free_targets.entries()) {
        if (entry.unused_processors_milli < need.processors_milli)
            break;
        ended_early = new_count >= max_new_candidates && new_tasks >= ample_tasks;
        if (ended_early)
            break;
        if (this->in_unusable_zone(*entry.target))
            continue;
        ++weighed;
        const auto candidate = this->evaluate_target(*entry.target, owner, step_index);
        if (!candidate)
            continue;
        found.push_back(*candidate);
        if (is_new(*candidate)) {
            ++new_count;
            new_tasks += std::min(candidate->max_tasks, waiting);
        }
    }
    this->env.metrics.add("targets_weighed", weighed);
    if (!ended_early)
        return found;
    // The advisor's answers name the allowed targets that it did not reach.
    std::erase_if(found, [](const auto& candidate) { return !is_new(candidate); });
    const auto allowed = this->find_allowed_candidates(owner, step_index);
    found.insert(found.end(), allowed.begin(), allowed.end());
    return found;
}

std::vector<step_candidate> coordinator::find_tightest_candidates(const workflow& owner,
                                                                  std::uint32_t step_index) const
{
    const auto& need = owner.record.spec.steps[step_index].need;
    std::vector<step_candidate> found;
    std::int64_t weighed = 0;
    const auto& entries = this->free_targets.entries();
    auto at = this->free_targets.first_below(need.processors_milli);
    while (at != entries.begin() && found.size() < max_new_candidates) {
        auto& target = *(--at)->target;
        if (this->in_unusable_zone(target))
            continue;
        ++weighed;
        if (const auto candidate = this->evaluate_target(target, owner, step_index))
            found.push_back(*candidate);
    }
    this->env.metrics.add("targets_weighed", weighed);
    return found;
}

bool coordinator::in_unusable_zone(const fleet_target& target) const
{
    const auto& zone = target.report.availability_zone;
    return this->configuration->zones_out.contains(zone) ||
           this->silent_zones.is_silent(zone, this->evaluation_time);
}

std::vector<step_candidate> coordinator::find_allowed_candidates(const workflow& owner,
                                                                 std::uint32_t step_index) const
{
    std::vector<step_candidate> found;
    for (const auto& [name, answer] : owner.steps[step_index].advice) {
        if (!answer.allowed)
            continue;
        const auto known = this->targets.find(name);
        if (known == this->targets.end() || this->in_unusable_zone(*known->second))
            continue;
        if (const auto candidate = this->evaluate_target(*known->second, owner, step_index))
            found.push_back(*candidate);
    }
    return found;
}

} // namespace verbenalever
