#include "scheduling/best_fit_placement.h"

#include "scheduling/placement_index.h"

namespace verbenalever {

std::optional<std::size_t> best_fit_placement::choose(const placement_index& index,
                                                      const resources& demand,
                                                      candidate_filter admits)
{
    const auto& order = index.by_free_capacity();
    for (auto entry = order.lower_bound({index.normalized_sum(demand), 0}); entry != order.end();
         ++entry) {
        const auto position = entry->second;
        if (demand.fits_within(index.candidates()[position].free) && admits(position))
            return position;
    }
    return std::nullopt;
}

} // namespace verbenalever
