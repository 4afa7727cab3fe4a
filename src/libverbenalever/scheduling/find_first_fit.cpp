#include "scheduling/find_first_fit.h"

#include "scheduling/placement_index.h"

namespace verbenalever {

std::optional<std::size_t> find_first_fit(const placement_index& index, const resources& demand,
                                          placement_policy::candidate_filter admits,
                                          std::size_t first)
{
    const auto candidates = index.candidates();
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const auto position = (first + step) % candidates.size();
        if (demand.fits_within(candidates[position].free) && admits(position))
            return position;
    }
    return std::nullopt;
}

} // namespace verbenalever
