#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_entries(session& state, std::span<const std::string> arguments);
int run_targets(session& state, std::span<const std::string> arguments);
int run_teams(session& state, std::span<const std::string> arguments);
int run_queues(session& state, std::span<const std::string> arguments);
int run_zones(session& state, std::span<const std::string> arguments);
int run_key_list(session& state, std::span<const std::string> arguments);
int run_restrictions(session& state, std::span<const std::string> arguments);

/// Begin a planned stop of the entry.
int run_drain(session& state, std::span<const std::string> arguments);

/// Show entries, zones out, targets and teams' use, again at intervals.
int run_top(session& state, std::span<const std::string> arguments);

} // namespace tool
