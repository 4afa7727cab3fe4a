#pragma once

#include "scheduling/resources.h"

#include <absl/status/status.h>

#include <cstdint>
#include <span>
#include <vector>

namespace verbenalever {

/// What the fleet's targets have when nothing runs: tells work that can never run from work that
/// has to wait.
class fleet_capacity {
public:
    /// @param targets declared capacity of each target that is not leaving, over all zones
    void assign(std::span<const resources> targets);

    /// @return whether no target is existing
    [[nodiscard]] bool empty() const;

    /// @param tasks how many have to run at the same time
    /// @return FAILED_PRECONDITION with "fits_nowhere: ..." and the reason when the work can never
    ///         run; OK also while no target is existing
    [[nodiscard]] absl::Status check(const resources& demand, std::int64_t tasks = 1) const;

private:
    struct target_kind {
        resources capacity;
        std::int64_t target_count = 0;
    };

    [[nodiscard]] resources largest_amounts() const;

    std::vector<target_kind> kinds;
};

} // namespace verbenalever
