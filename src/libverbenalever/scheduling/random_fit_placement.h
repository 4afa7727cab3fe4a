#pragma once

#include "scheduling/placement_policy.h"

#include <cstdint>
#include <random>

namespace verbenalever {

/// Chooses the first candidate that fits the demand, starting at a random one: a baseline for
/// comparisons.
class random_fit_placement final : public placement_policy {
public:
    explicit random_fit_placement(std::uint64_t seed);

    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) override;

private:
    std::mt19937_64 random;
};

} // namespace verbenalever
