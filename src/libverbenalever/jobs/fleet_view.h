#pragma once

#include "loop/clock.h"
#include "scheduling/fleet_capacity.h"
#include "scheduling/resources.h"
#include "store/vm_record.h"

#include <absl/status/status.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// The targets and entry daemons of all availability zones, from the platform's list of VMs.
class fleet_view {
public:
    /// Update the fleet from the platform's list of VMs. For a target that is no longer listed, the
    /// availability zone and the time at which it left the list stay stored.
    void apply_vm_list(std::span<const vm_record> vms);

    /// @return the availability zone of a target that is or was on the list; empty when unknown
    [[nodiscard]] std::string_view zone_of(std::string_view target) const;

    /// @return when the target left the list; monotonic_time::max() while it is listed, or if it
    ///         never was on the list
    [[nodiscard]] monotonic_time left_list_at(std::string_view target) const;

    /// @return the names of the entry daemons in one availability zone; in all zones when @p zone
    ///         is empty
    [[nodiscard]] std::vector<std::string> entries_in_zone(std::string_view zone) const;

    /// @return FAILED_PRECONDITION, with the reason, when the tasks would not fit on the listed
    ///         targets even if nothing else ran there
    /// @param demand       what each task needs
    /// @param simultaneous whether all @p tasks run at the same time
    [[nodiscard]] absl::Status fits_idle_fleet(const resources& demand, std::size_t tasks,
                                               bool simultaneous) const;

private:
    struct known_target {
        std::string availability_zone;
        bool listed = true;
        monotonic_time left_at;
    };

    fleet_capacity idle_capacity; ///< whole capacity of the listed targets
    std::map<std::string, known_target, std::less<>> targets;
    std::map<std::string, std::string, std::less<>> entries; ///< name to availability zone
};

} // namespace verbenalever
