#pragma once

#include "ports/queue_definition.h"
#include "ports/team_definition.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// What the operators have configured: queues, teams, and zones taken out of service.
struct fleet_configuration {
    std::int64_t version = 0;  ///< of the operators' document; 0: there is none yet
    std::int64_t revision = 0; ///< of the store when all of this was read
    std::int64_t digest = 0;   ///< of the content; equal where nothing differs
    std::vector<queue_definition> queues;
    std::vector<team_definition> teams;
    std::set<std::string, std::less<>> zones_out;

    /// @return the queue with this host and the longest prefix of @p path
    [[nodiscard]] const queue_definition* find_queue(std::string_view host,
                                                     std::string_view path) const;
    /// @return the queue called @p name
    [[nodiscard]] const queue_definition* queue(std::string_view name) const;
    [[nodiscard]] const team_definition* team(std::string_view name) const;
    [[nodiscard]] const team_definition* find_team_by_key(std::string_view key) const;
};

} // namespace verbenalever
