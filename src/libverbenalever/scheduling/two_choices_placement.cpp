#include "scheduling/two_choices_placement.h"

#include "scheduling/placement_index.h"

namespace verbenalever {

two_choices_placement::two_choices_placement(std::uint64_t seed) : random(seed) {}

std::optional<std::size_t> two_choices_placement::choose(const placement_index& index,
                                                         const resources& demand,
                                                         candidate_filter admits)
{
    const auto candidates = index.candidates();
    if (candidates.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> random_position(0, candidates.size() - 1);
    auto better = random_position(this->random);
    auto other = random_position(this->random);
    if (index.normalized_sum(candidates[better].free) <
        index.normalized_sum(candidates[other].free))
        std::swap(better, other);
    for (const auto position : {better, other}) {
        if (demand.fits_within(candidates[position].free) && admits(position))
            return position;
    }
    return this->fallback.choose(index, demand, admits);
}

} // namespace verbenalever
