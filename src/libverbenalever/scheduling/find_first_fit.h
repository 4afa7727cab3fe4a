#pragma once

#include "scheduling/placement_policy.h"

#include <cstddef>
#include <optional>

namespace verbenalever {

/// Walk over all candidates from @p first on, round the end.
/// @return the first with room for @p demand that is admitted
[[nodiscard]] std::optional<std::size_t> find_first_fit(const placement_index& index,
                                                        const resources& demand,
                                                        placement_policy::candidate_filter admits,
                                                        std::size_t first);

} // namespace verbenalever
