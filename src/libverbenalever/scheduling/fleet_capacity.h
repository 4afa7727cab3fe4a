#pragma once

#include "scheduling/resources.h"

#include <absl/status/status.h>

#include <cstdint>
#include <span>
#include <vector>

namespace verbenalever {

/// The total capacity of the fleet's targets, free or not. Distinguishes work that can never run
/// from work that only has to wait.
class fleet_capacity {
public:
    /// Replace the targets.
    /// @param targets declared capacity of each target that is not leaving, in all zones
    void assign(std::span<const resources> targets);

    /// @return whether no target is known
    [[nodiscard]] bool empty() const;

    /// Check whether the fleet could run work if nothing else ran.
    /// @param demand of each task
    /// @param tasks number of tasks that have to run at the same time
    /// @return FAILED_PRECONDITION with "fits_nowhere: ..." and the reason when the work can never
    ///         run; OK also while no target is known
    [[nodiscard]] absl::Status check(const resources& demand, std::int64_t tasks = 1) const;

private:
    /// Targets with the same capacity.
    struct target_kind {
        resources capacity;
        std::int64_t target_count = 0;
    };

    /// @return for each resource the largest amount that any target has
    [[nodiscard]] resources largest_amounts() const;

    std::vector<target_kind> kinds;
};

} // namespace verbenalever
