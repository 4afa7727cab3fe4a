#include "ports/fleet_configuration.h"

#include <algorithm>

namespace verbenalever {

const queue_definition* fleet_configuration::find_queue(std::string_view host,
                                                        std::string_view path) const
{
    const queue_definition* best = nullptr;
    for (const auto& queue : this->queues) {
        if (queue.host == host && path.starts_with(queue.prefix) &&
            (best == nullptr || queue.prefix.size() > best->prefix.size()))
            best = &queue;
    }
    return best;
}

const queue_definition* fleet_configuration::queue(std::string_view name) const
{
    const auto found = std::ranges::find(this->queues, name, &queue_definition::name);
    return found == this->queues.end() ? nullptr : &*found;
}

const team_definition* fleet_configuration::team(std::string_view name) const
{
    const auto found = std::ranges::find(this->teams, name, &team_definition::name);
    return found == this->teams.end() ? nullptr : &*found;
}

const team_definition* fleet_configuration::find_team_by_key(std::string_view key) const
{
    for (const auto& team : this->teams) {
        if (std::ranges::find(team.keys, key) != team.keys.end())
            return &team;
    }
    return nullptr;
}

} // namespace verbenalever
