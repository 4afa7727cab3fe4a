#include "scheduling/expected_finish_placement.h"

#include "scheduling/placement_index.h"
#include "scheduling/target_slowness_tracker.h"

namespace verbenalever {

namespace {

/// Random candidates that are compared for one decision.
constexpr int sample_size = 8;

} // namespace

expected_finish_placement::expected_finish_placement(
    std::shared_ptr<const target_slowness_tracker> slowness_tracker, std::uint64_t seed)
    : slowness_tracker(std::move(slowness_tracker)), random(seed)
{
}

std::optional<std::size_t> expected_finish_placement::choose(const placement_index& index,
                                                             const resources& demand,
                                                             candidate_filter admits)
{
    const auto candidates = index.candidates();
    if (candidates.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> random_position(0, candidates.size() - 1);
    std::optional<std::size_t> best;
    double best_slowness = 0;
    for (int draw = 0; draw < sample_size; ++draw) {
        const auto position = random_position(this->random);
        const auto& candidate = candidates[position];
        if (!demand.fits_within(candidate.free))
            continue;
        const auto slowness = this->slowness_tracker->slowness(candidate.target);
        if ((best && slowness >= best_slowness) || !admits(position))
            continue;
        best = position;
        best_slowness = slowness;
    }
    return best ? best : this->fallback.choose(index, demand, admits);
}

} // namespace verbenalever
