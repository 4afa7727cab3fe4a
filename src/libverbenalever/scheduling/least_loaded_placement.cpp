#include "scheduling/least_loaded_placement.h"

#include "scheduling/placement_index.h"

namespace verbenalever {

std::optional<std::size_t> least_loaded_placement::choose(const placement_index& index,
                                                          const resources& demand,
                                                          candidate_filter admits)
{
    const auto least = index.room(demand);
    const auto& order = index.ordered();
    for (auto place = order.rbegin(); place != order.rend() && place->first >= least; ++place) {
        const auto position = place->second;
        if (demand.fits_within(index.candidates()[position].free) && admits(position))
            return position;
    }
    return std::nullopt;
}

} // namespace verbenalever
