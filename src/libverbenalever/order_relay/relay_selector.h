#pragma once

#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Selects the VM that relays orders to a target, by rendezvous hashing among the VMs of the
/// target's availability zone with large processor shares. When a VM joins or leaves, only the
/// targets assigned to that VM change their relay.
class relay_selector {
public:
    /// Add a VM or update its attributes.
    /// @param processor_share in cores
    void update(const std::string& vm, const std::string& availability_zone,
                double processor_share);
    void remove(std::string_view vm);

    /// @return the VM that relays orders to @p target, in another zone when the target's zone has
    ///         none; null when there are no VMs at all
    [[nodiscard]] const std::string* choose(const std::string& target,
                                            std::string_view availability_zone);

private:
    struct candidate {
        std::string availability_zone;
        double processor_share = 0;
    };

    [[nodiscard]] const std::string* find_best(const std::string& target,
                                               std::string_view availability_zone) const;

    std::map<std::string, candidate, std::less<>> vms;
    /// Selected relay by target; cleared when the VMs change.
    std::map<std::string, const std::string*, std::less<>> cached_choices;
};

} // namespace verbenalever
