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

/// Start to drain the entry before a planned shutdown.
int run_drain(session& current_session, std::span<const std::string> arguments);

/// Print entries, zones out of service, targets and the usage by team, repeated at intervals.
int run_top(session& current_session, std::span<const std::string> arguments);

} // namespace tool
