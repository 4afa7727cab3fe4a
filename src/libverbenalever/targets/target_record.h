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

/// What this entry daemon knows about one target of its own availability zone.
struct target_record {
    vm_record vm;

    std::int64_t lease_epoch = 0;     ///< epoch of the lease last granted to this entry daemon
    monotonic_time lease_valid_until; ///< counted from before the lease request was sent
    bool inventory_known = false;     ///< whether an inventory was read under this lease

    target_reservations reservations; ///< the two sums below always match it
    /// Reserved by work that this entry daemon started or found in the inventory.
    resources reserved;
    std::map<std::string, resources, std::less<>> reserved_by_team; ///< adds up to `reserved`

    /// Position in the registry's placement index; empty if starts were not allowed here when the
    /// index was built.
    std::optional<std::size_t> index_position;

    /// @return whether this entry daemon holds the target's lease at @p now
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
