#include "scheduling/least_loaded_placement.h"

#include "scheduling/placement_index.h"

namespace verbenalever {

std::optional<std::size_t> least_loaded_placement::choose(const placement_index& index,
                                                          const resources& demand,
                                                          candidate_filter admits)
{
    const auto required = index.normalized_sum(demand);
    const auto& order = index.by_free_capacity();
    for (auto entry = order.rbegin(); entry != order.rend() && entry->first >= required; ++entry) {
        const auto position = entry->second;
        if (demand.fits_within(index.candidates()[position].free) && admits(position))
            return position;
    }
    return std::nullopt;
}

} // namespace verbenalever
