#pragma once

#include "scheduling/least_loaded_placement.h"
#include "scheduling/placement_policy.h"

#include <cstdint>
#include <random>

namespace verbenalever {

/// Chooses of two random candidates the one with more free capacity; when neither is suitable, the
/// least loaded of all. The random choice prevents that all entry daemons with outdated
/// information choose the same target.
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
