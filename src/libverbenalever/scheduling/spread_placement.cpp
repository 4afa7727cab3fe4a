#include "scheduling/spread_placement.h"

#include "scheduling/placement_index.h"

#include <set>

namespace verbenalever {

std::optional<std::size_t> spread_placement::choose(const placement_index& index,
                                                    const resources& demand,
                                                    candidate_filter admits)
{
    const auto required = index.normalized_sum(demand);
    const auto candidates = index.candidates();
    const auto& order = index.by_free_capacity();
    std::optional<std::size_t> best;
    std::size_t work_on_best_rack = 0;
    // Candidates come with the most free capacity first: the first of each rack is its best.
    std::set<std::string_view> visited_racks;
    for (auto entry = order.rbegin(); entry != order.rend() && entry->first >= required; ++entry) {
        const auto& candidate = candidates[entry->second];
        if (visited_racks.contains(candidate.rack) || !demand.fits_within(candidate.free))
            continue;
        const auto work_here = this->work_on_rack(candidate.rack);
        if ((best && work_here >= work_on_best_rack) || !admits(entry->second))
            continue;
        visited_racks.insert(candidate.rack);
        best = entry->second;
        work_on_best_rack = work_here;
        if (work_here == 0)
            break;
    }
    if (best)
        this->work_started(candidates[*best].rack);
    return best;
}

void spread_placement::work_started(std::string_view rack)
{
    ++this->work_by_rack[std::string(rack)];
}

void spread_placement::work_ended(std::string_view rack)
{
    const auto found = this->work_by_rack.find(rack);
    if (found != this->work_by_rack.end() && --found->second == 0)
        this->work_by_rack.erase(found);
}

std::size_t spread_placement::work_on_rack(std::string_view rack) const
{
    const auto found = this->work_by_rack.find(rack);
    return found == this->work_by_rack.end() ? 0 : found->second;
}

} // namespace verbenalever
