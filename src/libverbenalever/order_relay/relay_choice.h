#pragma once

#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Chooses the VM that carries orders to a target: by rendezvous hashing among the strong VMs of
/// the target's availability zone, so that a VM that comes or goes moves its own targets only.
class relay_choice {
public:
    /// Add a VM, or note what has changed of it.
    /// @param processor_share of one core
    void put(const std::string& vm, const std::string& availability_zone, double processor_share);
    void remove(std::string_view vm);

    /// @return the VM for @p target; null when there is none at all
    [[nodiscard]] const std::string* choose(const std::string& target,
                                            std::string_view availability_zone);

private:
    struct candidate {
        std::string availability_zone;
        double processor_share = 0;
    };

    [[nodiscard]] const std::string* best_of(const std::string& target,
                                             std::string_view availability_zone) const;

    std::map<std::string, candidate, std::less<>> vms;
    /// Choices since the VMs last changed, by target.
    std::map<std::string, const std::string*, std::less<>> chosen;
};

} // namespace verbenalever
