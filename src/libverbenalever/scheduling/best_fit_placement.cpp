#include "scheduling/best_fit_placement.h"

#include "scheduling/placement_index.h"

namespace verbenalever {

std::optional<std::size_t> best_fit_placement::choose(const placement_index& index,
                                                      const resources& demand,
                                                      candidate_filter admits)
{
    const auto& order = index.ordered();
    for (auto place = order.lower_bound({index.room(demand), 0}); place != order.end(); ++place) {
        const auto position = place->second;
        if (demand.fits_within(index.candidates()[position].free) && admits(position))
            return position;
    }
    return std::nullopt;
}

} // namespace verbenalever
