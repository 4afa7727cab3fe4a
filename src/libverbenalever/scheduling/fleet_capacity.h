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

    /// @return whether no target is known
    [[nodiscard]] bool empty() const;

    /// @param tasks how many have to run at the same time
    /// @return FAILED_PRECONDITION with "fits_nowhere: ..." and the reason when the work can never
    ///         run; OK also while no target is known
    [[nodiscard]] absl::Status check(const resources& demand, std::int64_t tasks = 1) const;

private:
    struct kind {
        resources capacity;
        std::int64_t targets = 0;
    };

    [[nodiscard]] resources largest() const;

    std::vector<kind> kinds;
};

} // namespace verbenalever
