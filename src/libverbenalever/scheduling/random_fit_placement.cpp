#include "scheduling/random_fit_placement.h"

#include "scheduling/find_first_fit.h"
#include "scheduling/placement_index.h"

namespace verbenalever {

random_fit_placement::random_fit_placement(std::uint64_t seed) : random(seed) {}

std::optional<std::size_t> random_fit_placement::choose(const placement_index& index,
                                                        const resources& demand,
                                                        candidate_filter admits)
{
    if (index.candidates().empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> random_position(0, index.candidates().size() - 1);
    return find_first_fit(index, demand, admits, random_position(this->random));
}

} // namespace verbenalever
