#include "coordinator/advice_economy.h"

#include "ports/queue_definition.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// The per-target times of a question add up to at least this part of its base time: each target
/// then costs three times its own time, and a question lasts half as long again as one about no
/// target.
constexpr double min_share_of_base_time = 0.5;
/// Limit of least_targets() for steps that are no gang: step_placer names no more to one question.
constexpr double max_least_targets = 40;
/// The same for a gang: the advisor accepts no more targets in one question.
constexpr double max_least_targets_of_gang = 100;
} // namespace

std::size_t advice_economy::least_targets(const queue_definition& queue, bool gang) const
{
    if (this->policy == advisor_question_policy::minimal || queue.advice_base_ms <= 0)
        return 0;
    const double limit = gang ? max_least_targets_of_gang : max_least_targets;
    const double wanted_ms = min_share_of_base_time * queue.advice_base_ms;
    // Compared before the division, since the time for a target may be zero.
    if (wanted_ms >= limit * queue.advice_target_ms)
        return static_cast<std::size_t>(limit);
    return static_cast<std::size_t>(std::ceil(wanted_ms / queue.advice_target_ms));
}

std::size_t advice_economy::max_parts(const queue_definition& queue, std::size_t targets,
                                      std::size_t targets_in_parallel) const
{
    const auto efficient = (targets + targets_in_parallel - 1) / targets_in_parallel;
    const auto least = this->least_targets(queue, true);
    if (least == 0)
        return efficient;
    return std::min(efficient, std::max<std::size_t>(1, targets / least));
}

} // namespace verbenalever
