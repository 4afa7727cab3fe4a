#include "targets/target_assignment.h"

#include "membership/capped_rendezvous.h"
#include "targets/target_group.h"

namespace verbenalever {

bool target_assignment::update(std::vector<std::string> targets, std::vector<std::string> entries)
{
    if (targets == this->targets && entries == this->entries)
        return false;
    this->targets = std::move(targets);
    this->entries = std::move(entries);
    this->group_by_target.clear();
    this->entry_by_group.clear();
    const auto count = target_group_count(this->targets.size());
    for (const auto& target : this->targets) {
        const auto group = target_group(target, count);
        this->group_by_target.emplace(target, group);
        this->entry_by_group[group];
    }
    // Empty groups are left out, so that each entry daemon's cap counts only groups that have
    // targets.
    std::vector<std::uint32_t> groups;
    for (const auto& [group, entry] : this->entry_by_group)
        groups.push_back(group);
    const auto owners = capped_rendezvous(groups, this->entries);
    for (std::size_t i = 0; i < owners.size(); ++i)
        this->entry_by_group[groups[i]] = this->entries[owners[i]];
    return true;
}

std::string_view target_assignment::assigned_entry(std::string_view target) const
{
    const auto group = this->group_by_target.find(target);
    return group == this->group_by_target.end()
               ? std::string_view()
               : std::string_view(this->entry_by_group.at(group->second));
}

std::vector<std::string> target_assignment::targets_in_same_group(std::string_view target) const
{
    std::vector<std::string> names;
    const auto group = this->group_by_target.find(target);
    if (group == this->group_by_target.end())
        return names;
    for (const auto& [name, other] : this->group_by_target) {
        if (other == group->second)
            names.push_back(name);
    }
    return names;
}

} // namespace verbenalever
