#pragma once

#include "scheduling/placement_policy.h"

namespace verbenalever {

/// Chooses the candidate with the least free capacity that still fits the demand, so that whole
/// targets stay free for large work.
class best_fit_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) override;
};

} // namespace verbenalever
