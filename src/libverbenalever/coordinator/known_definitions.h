#pragma once

#include "ports/queue_definition.h"
#include "ports/team_definition.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

struct fleet_configuration;

/// The definitions of queues and teams under which accepted workflows go on: those of the present
/// configuration, and of each queue or team that was removed from it the last one. They are stored,
/// so that they outlive the coordinator.
class known_definitions {
public:
    /// Use the definitions of a newer configuration; those that it lacks are kept.
    void apply(const fleet_configuration& configuration);

    /// Use the definitions that an earlier coordinator has stored, except of what is known.
    /// @return INVALID_ARGUMENT when the text cannot be decoded
    absl::Status restore(std::string_view text);

    /// @return the definitions as text for restore(), without those that are assumed
    [[nodiscard]] std::string encode() const;

    /// Forget the definitions that are neither configured nor selected.
    void forget_removed(const std::function<bool(const queue_definition&)>& queue_in_use,
                        const std::function<bool(const team_definition&)>& team_in_use);

    /// @return the definition of the queue; null when none is known. It stays where it is and is
    /// updated by apply()
    [[nodiscard]] const queue_definition* queue(std::string_view name) const;

    /// @return the definition of the team, without keys; null when none is known
    [[nodiscard]] const team_definition* team(std::string_view name) const;

    /// @param pool of the queue when a workflow was accepted
    /// @return the definition of the queue; when none is known one that is assumed until apply()
    /// brings it: the least urgent priority and the most attempts of all known queues
    const queue_definition& queue_or_assumed(std::string_view name, std::string_view pool);

    /// Take note that targets demand tickets of a queue whose definition is assumed; without effect
    /// for other queues.
    void require_advice(std::string_view queue);

private:
    struct known_queue {
        queue_definition definition;
        bool configured = false; ///< in the present configuration
        bool assumed = false;
    };

    struct known_team {
        team_definition definition;
        bool configured = false;
    };

    std::map<std::string, known_queue, std::less<>> queues;
    std::map<std::string, known_team, std::less<>> teams;
};

} // namespace verbenalever
