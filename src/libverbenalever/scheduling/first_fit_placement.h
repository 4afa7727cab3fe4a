#pragma once

#include "scheduling/placement_policy.h"

namespace verbenalever {

/// Takes the first candidate with room: a baseline.
class first_fit_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) override;
};

} // namespace verbenalever
