#pragma once

#include "scheduling/placement_policy.h"

namespace verbenalever {

/// Chooses the first candidate that fits the demand: a baseline for comparisons.
class first_fit_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) override;
};

} // namespace verbenalever
