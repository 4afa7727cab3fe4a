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

/// The operators' configuration: queues, teams, and zones taken out of service.
struct fleet_configuration {
    std::int64_t version = 0;  ///< of the operators' document; 0: no document exists
    std::int64_t revision = 0; ///< store revision at which the configuration was read
    std::int64_t digest = 0;   ///< of the content; equal for equal configurations
    std::vector<queue_definition> queues;
    std::vector<team_definition> teams;
    std::set<std::string, std::less<>> zones_out; ///< availability zones out of service

    /// @return the queue with this host whose prefix is the longest that matches @p path; null when
    ///         no queue matches
    [[nodiscard]] const queue_definition* find_queue(std::string_view host,
                                                     std::string_view path) const;
    /// @return the queue called @p name; null when there is none
    [[nodiscard]] const queue_definition* queue(std::string_view name) const;
    /// @return the team called @p name; null when there is none
    [[nodiscard]] const team_definition* team(std::string_view name) const;
    /// @return the team that has the access key @p key; null when there is none
    [[nodiscard]] const team_definition* find_team_by_key(std::string_view key) const;
};

} // namespace verbenalever
