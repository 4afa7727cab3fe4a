#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// Which entry of a zone is named for each of its targets. It only says who asks for the lease.
class target_assignment {
public:
    /// Divide anew when either list differs from the last one.
    /// @return whether it did
    bool update(std::vector<std::string> targets, std::vector<std::string> entries);

    /// @return the entry named for @p target; empty when there is none
    [[nodiscard]] std::string_view assigned_entry(std::string_view target) const;

    /// @return the names of the targets in the same group as @p target, with its own
    [[nodiscard]] std::vector<std::string> targets_in_same_group(std::string_view target) const;

private:
    std::vector<std::string> targets;
    std::vector<std::string> entries;
    std::map<std::string, std::uint32_t, std::less<>> group_by_target;
    std::map<std::uint32_t, std::string> entry_by_group;
};

} // namespace verbenalever
