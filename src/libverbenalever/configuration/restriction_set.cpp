#include "configuration/restriction_set.h"

#include "configuration/operator_configuration.h"

namespace verbenalever {

bool restriction_set::add(restriction added)
{
    auto id = added.id;
    return this->members.emplace(std::move(id), std::move(added)).second;
}

void restriction_set::remove(std::span<const std::string> ids)
{
    for (const auto& id : ids)
        this->members.erase(id);
}

operator_configuration restriction_set::narrow(operator_configuration configuration) const
{
    for (const auto& [id, member] : this->members)
        member.narrow(configuration);
    return configuration;
}

const std::map<std::string, restriction, std::less<>>& restriction_set::all() const
{
    return this->members;
}

std::vector<std::string> restriction_set::find_ids(std::string_view kind,
                                                   std::string_view subject) const
{
    std::vector<std::string> ids;
    for (const auto& [id, member] : this->members) {
        if (member.kind == kind && member.subject == subject)
            ids.push_back(id);
    }
    return ids;
}

} // namespace verbenalever
