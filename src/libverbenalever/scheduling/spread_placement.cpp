#include "scheduling/spread_placement.h"

#include "scheduling/placement_index.h"

#include <set>

namespace verbenalever {

std::optional<std::size_t> spread_placement::choose(const placement_index& index,
                                                    const resources& demand,
                                                    candidate_filter admits)
{
    const auto least = index.room(demand);
    const auto candidates = index.candidates();
    const auto& order = index.ordered();
    std::optional<std::size_t> best;
    std::size_t best_held = 0;
    // The first candidate of a rack in this order is its emptiest.
    std::set<std::string_view> seen;
    for (auto place = order.rbegin(); place != order.rend() && place->first >= least; ++place) {
        const auto& candidate = candidates[place->second];
        if (seen.contains(candidate.rack) || !demand.fits_within(candidate.free))
            continue;
        const auto here = this->held_by(candidate.rack);
        if ((best && here >= best_held) || !admits(place->second))
            continue;
        seen.insert(candidate.rack);
        best = place->second;
        best_held = here;
        if (here == 0)
            break;
    }
    if (best)
        this->found(candidates[*best].rack);
    return best;
}

void spread_placement::found(std::string_view rack)
{
    ++this->held[std::string(rack)];
}

void spread_placement::ended(std::string_view rack)
{
    const auto known = this->held.find(rack);
    if (known != this->held.end() && --known->second == 0)
        this->held.erase(known);
}

std::size_t spread_placement::held_by(std::string_view rack) const
{
    const auto known = this->held.find(rack);
    return known == this->held.end() ? 0 : known->second;
}

} // namespace verbenalever
