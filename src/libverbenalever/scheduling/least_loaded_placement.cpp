#include "scheduling/least_loaded_placement.h"

namespace verbenalever {

std::optional<std::size_t>
least_loaded_placement::choose(std::span<const placement_candidate> candidates,
                               const resources& demand)
{
    std::optional<std::size_t> best;
    ++this->first;
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const auto position = (this->first + step) % candidates.size();
        const auto& candidate = candidates[position];
        if (!demand.fits_within(candidate.free))
            continue;
        if (!best || candidate.free.slots > candidates[*best].free.slots)
            best = position;
    }
    return best;
}

} // namespace verbenalever
