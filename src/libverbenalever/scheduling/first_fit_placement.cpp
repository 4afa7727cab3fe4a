#include "scheduling/first_fit_placement.h"

#include "scheduling/find_first_fit.h"

namespace verbenalever {

std::optional<std::size_t> first_fit_placement::choose(const placement_index& index,
                                                       const resources& demand,
                                                       candidate_filter admits)
{
    return find_first_fit(index, demand, admits, 0);
}

} // namespace verbenalever
