#pragma once

#include "scheduling/placement_policy.h"

namespace verbenalever {

/// Chooses the candidate with the most free capacity.
class least_loaded_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) override;
};

} // namespace verbenalever
