#include "coordinator/step_placer.h"

#include "coordinator/fleet_target.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// The targets asked about are expected to hold this many times the tasks, since the number of
/// targets that the advisor allows varies.
constexpr double target_margin = 1.4;
/// The same for a gang: if one target is missing the whole question was wasted, and during the
/// about one second that the answer takes, other work uses most of the free capacity of a busy
/// fleet.
constexpr double gang_target_margin = 4;
/// Targets without advice that are named beyond the number that seems to suffice.
constexpr std::size_t extra_targets = 2;
/// select_targets_to_ask() chooses at most this many targets, all for one question, to limit the
/// advisor's time.
constexpr std::size_t max_targets_asked_at_once = 40;
/// The same for a gang, whose targets are divided among parallel questions: this many fill four
/// questions of the largest size that the advisor accepts, 100 targets (see
/// max_targets_per_question in coordinator_advice.cpp).
constexpr std::size_t max_gang_targets_asked_at_once = 400;

} // namespace

step_placer::step_placer(std::vector<step_candidate> candidates, resources need)
    : candidates(std::move(candidates)), need(need)
{
    // Best fit: targets with little free capacity first, so that empty ones stay free for large
    // tasks.
    std::ranges::sort(this->candidates, {}, &step_candidate::free_processors_milli);
}

std::vector<fleet_target*> step_placer::place(std::uint32_t wanted, bool all_or_nothing) const
{
    std::vector<fleet_target*> chosen;
    for (const auto& candidate : this->candidates) {
        if (candidate.advice_state != step_candidate::advice_permission::allowed)
            continue;
        const auto count = std::min<std::size_t>(candidate.max_tasks, wanted - chosen.size());
        chosen.insert(chosen.end(), count, candidate.target);
        if (chosen.size() == wanted)
            return chosen;
    }
    if (all_or_nothing)
        chosen.clear();
    return chosen;
}

std::vector<fleet_target*> step_placer::place_with_renewal(std::uint32_t wanted) const
{
    std::vector<fleet_target*> chosen;
    // Most free capacity first, so that there are fewer targets to ask about.
    const std::vector<step_candidate> largest_first(this->candidates.rbegin(),
                                                    this->candidates.rend());
    for (const auto& candidate : largest_first) {
        if (candidate.advice_state == step_candidate::advice_permission::not_asked)
            continue;
        const auto count = std::min<std::size_t>(candidate.max_tasks, wanted - chosen.size());
        chosen.insert(chosen.end(), count, candidate.target);
        if (chosen.size() == wanted)
            return chosen;
    }
    return {};
}

std::vector<fleet_target*> step_placer::select_targets_to_ask(std::uint32_t wanted,
                                                              bool all_or_nothing,
                                                              double grant_rate,
                                                              std::size_t least_targets) const
{
    double expected_tasks = 0;
    std::vector<const step_candidate*> askable;
    for (const auto& candidate : this->candidates) {
        if (candidate.advice_state == step_candidate::advice_permission::allowed)
            expected_tasks += candidate.max_tasks;
        else
            askable.push_back(&candidate);
    }
    if (all_or_nothing && !this->can_fit(wanted, grant_rate))
        return {};
    // Targets known to be allowed first, then those where most tasks fit.
    std::ranges::sort(askable, [](const auto* left, const auto* right) {
        if (left->advice_state != right->advice_state)
            return left->advice_state == step_candidate::advice_permission::ticket_expired;
        return left->max_tasks > right->max_tasks;
    });
    const double needed_tasks = wanted * (all_or_nothing ? gang_target_margin : target_margin);
    std::vector<fleet_target*> targets;
    std::size_t extra_left = extra_targets;
    bool renews_only = false; ///< all targets so far are known to be allowed
    const auto limit = all_or_nothing ? max_gang_targets_asked_at_once : max_targets_asked_at_once;
    for (const auto* candidate : askable) {
        if (targets.size() >= limit)
            break;
        const bool expired =
            candidate->advice_state == step_candidate::advice_permission::ticket_expired;
        if (expected_tasks >= needed_tasks) {
            // Expired tickets that suffice are renewed alone: more names would delay the answer.
            if (expired || (renews_only && least_targets > 0))
                break;
            if (extra_left > 0)
                --extra_left;
            else if (targets.size() >= least_targets)
                break;
        }
        renews_only = expired;
        expected_tasks += std::min(candidate->max_tasks, wanted) * (expired ? 1.0 : grant_rate);
        targets.push_back(candidate->target);
    }
    return targets;
}

bool step_placer::can_fit(std::uint32_t wanted, double grant_rate) const
{
    double expected_tasks = 0;
    std::uint64_t tasks_that_fit = 0;
    for (const auto& candidate : this->candidates) {
        const auto max_tasks = std::min(candidate.max_tasks, wanted);
        const bool known_allowed =
            candidate.advice_state != step_candidate::advice_permission::not_asked;
        expected_tasks += max_tasks * (known_allowed ? 1.0 : grant_rate);
        tasks_that_fit += max_tasks;
    }
    return expected_tasks >= wanted || tasks_that_fit >= wanted * ample_capacity_factor;
}

} // namespace verbenalever
