#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_entries(session& current_session, std::span<const std::string> arguments);
int run_targets(session& current_session, std::span<const std::string> arguments);
int run_teams(session& current_session, std::span<const std::string> arguments);
int run_queues(session& current_session, std::span<const std::string> arguments);
int run_zones(session& current_session, std::span<const std::string> arguments);
int run_key_list(session& current_session, std::span<const std::string> arguments);
int run_restrictions(session& current_session, std::span<const std::string> arguments);

/// Begin a planned stop of the entry.
int run_drain(session& current_session, std::span<const std::string> arguments);

/// Show entries, zones out, targets and teams' use, again at intervals.
int run_top(session& current_session, std::span<const std::string> arguments);

} // namespace tool
