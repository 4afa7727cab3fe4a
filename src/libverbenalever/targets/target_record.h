#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"
#include "store/vm_record.h"
#include "targets/target_reservations.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace verbenalever {

/// What this entry knows about one target of its own availability zone.
struct target_record {
    vm_record vm;

    std::int64_t lease_epoch = 0;     ///< epoch of the lease last granted to this entry
    monotonic_time lease_valid_until; ///< counted from before the grant was asked for
    bool inventory_known = false;     ///< whether the inventory was read under this lease

    target_reservations reservations; ///< each reservation; the sums follow
    resources reserved;               ///< taken by work that this entry started or found running
    std::map<std::string, resources, std::less<>> reserved_by_team; ///< sums to reserved

    /// Where it stands in the registry's placement index, if starts were allowed when that was
    /// made.
    std::optional<std::size_t> index_position;

    /// @return whether this entry holds the target's lease at @p now
    [[nodiscard]] bool lease_held(monotonic_time now) const
    {
        return this->lease_epoch != 0 && now < this->lease_valid_until;
    }

    [[nodiscard]] resources free() const
    {
        return this->vm.capacity - this->reserved;
    }
};

} // namespace verbenalever
