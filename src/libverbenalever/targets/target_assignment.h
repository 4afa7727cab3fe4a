#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// Assigns each target of a zone to one of its entry daemons, which then requests the target's
/// lease. The lease itself is granted by a lease_arbiter.
class target_assignment {
public:
    /// Recompute the assignment if either list differs from the last one.
    /// @return whether it was recomputed
    bool update(std::vector<std::string> targets, std::vector<std::string> entries);

    /// @return the entry daemon that @p target is assigned to; empty when there is none
    [[nodiscard]] std::string_view assigned_entry(std::string_view target) const;

    /// @return the names of the targets in the same group as @p target, itself included
    [[nodiscard]] std::vector<std::string> targets_in_same_group(std::string_view target) const;

private:
    std::vector<std::string> targets;
    std::vector<std::string> entries;
    std::map<std::string, std::uint32_t, std::less<>> group_by_target;
    std::map<std::uint32_t, std::string> entry_by_group;
};

} // namespace verbenalever
