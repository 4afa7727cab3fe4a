#pragma once

#include "scheduling/placement_policy.h"

#include <cstddef>
#include <optional>

namespace verbenalever {

/// Search all candidates, starting at position @p first and wrapping around at the end.
/// @return the position of the first candidate that fits @p demand and is admitted, or nothing
[[nodiscard]] std::optional<std::size_t> find_first_fit(const placement_index& index,
                                                        const resources& demand,
                                                        placement_policy::candidate_filter admits,
                                                        std::size_t first);

} // namespace verbenalever
