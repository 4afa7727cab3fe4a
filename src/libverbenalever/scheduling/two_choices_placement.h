#pragma once

#include "scheduling/least_loaded_placement.h"
#include "scheduling/placement_policy.h"

#include <cstdint>
#include <random>

namespace verbenalever {

/// Takes the emptier of two random candidates, else the least loaded: entries whose knowledge lags
/// do not all choose the same target.
class two_choices_placement final : public placement_policy {
public:
    explicit two_choices_placement(std::uint64_t seed);

    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) override;

private:
    std::mt19937_64 random;
    least_loaded_placement fallback;
};

} // namespace verbenalever
