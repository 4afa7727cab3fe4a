#include "scheduling/expected_finish_placement.h"

#include "scheduling/placement_index.h"
#include "scheduling/target_slowness_tracker.h"

namespace verbenalever {

namespace {

/// Candidates looked at for one decision.
constexpr int sample_size = 8;

} // namespace

expected_finish_placement::expected_finish_placement(
    std::shared_ptr<const target_slowness_tracker> rates, std::uint64_t seed)
    : rates(std::move(rates)), random(seed)
{
}

std::optional<std::size_t> expected_finish_placement::choose(const placement_index& index,
                                                             const resources& demand,
                                                             candidate_filter admits)
{
    const auto candidates = index.candidates();
    if (candidates.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    std::optional<std::size_t> best;
    double best_slowness = 0;
    for (int look = 0; look < sample_size; ++look) {
        const auto position = any(this->random);
        const auto& candidate = candidates[position];
        if (!demand.fits_within(candidate.free))
            continue;
        const auto slowness = this->rates->slowness(candidate.target);
        if ((best && slowness >= best_slowness) || !admits(position))
            continue;
        best = position;
        best_slowness = slowness;
    }
    return best ? best : this->otherwise.choose(index, demand, admits);
}

} // namespace verbenalever
