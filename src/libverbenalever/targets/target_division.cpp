#include "targets/target_division.h"

#include "membership/capped_rendezvous.h"
#include "targets/target_group.h"

namespace verbenalever {

bool target_division::update(std::vector<std::string> targets, std::vector<std::string> entries)
{
    if (targets == this->targets && entries == this->entries)
        return false;
    this->targets = std::move(targets);
    this->entries = std::move(entries);
    this->group_of.clear();
    this->entry_of.clear();
    const auto count = target_group_count(this->targets.size());
    for (const auto& target : this->targets) {
        const auto group = target_group(target, count);
        this->group_of.emplace(target, group);
        this->entry_of[group];
    }
    // Groups without a target are left out, so that the cap divides what there is.
    std::vector<std::uint32_t> groups;
    for (const auto& [group, entry] : this->entry_of)
        groups.push_back(group);
    const auto owners = capped_rendezvous(groups, this->entries);
    for (std::size_t i = 0; i < owners.size(); ++i)
        this->entry_of[groups[i]] = this->entries[owners[i]];
    return true;
}

std::string_view target_division::named(std::string_view target) const
{
    const auto group = this->group_of.find(target);
    return group == this->group_of.end() ? std::string_view()
                                         : std::string_view(this->entry_of.at(group->second));
}

std::vector<std::string> target_division::same_group(std::string_view target) const
{
    std::vector<std::string> names;
    const auto group = this->group_of.find(target);
    if (group == this->group_of.end())
        return names;
    for (const auto& [name, other] : this->group_of) {
        if (other == group->second)
            names.push_back(name);
    }
    return names;
}

} // namespace verbenalever
