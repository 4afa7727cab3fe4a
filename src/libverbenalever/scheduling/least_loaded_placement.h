#pragma once

#include "scheduling/placement_policy.h"

namespace verbenalever {

/// Takes the candidate with the most free slots; ties go round-robin.
class least_loaded_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const placement_candidate> candidates,
                                                    const resources& demand) override;

private:
    std::size_t first = 0;
};

} // namespace verbenalever
