#pragma once

#include "scheduling/least_loaded_placement.h"
#include "scheduling/placement_policy.h"

#include <cstdint>
#include <memory>
#include <random>

namespace verbenalever {

class target_slowness_tracker;

/// Chooses from a few random candidates the one with the lowest measured slowness; when none of
/// them is suitable, the least loaded of all candidates.
class expected_finish_placement final : public placement_policy {
public:
    /// @param slowness_tracker measured slowness of the targets
    /// @param seed of the random choice
    expected_finish_placement(std::shared_ptr<const target_slowness_tracker> slowness_tracker,
                              std::uint64_t seed);

    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) override;

private:
    std::shared_ptr<const target_slowness_tracker> slowness_tracker;
    std::mt19937_64 random;
    least_loaded_placement fallback;
};

} // namespace verbenalever
