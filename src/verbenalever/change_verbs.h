#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_zone_out(session& current_session, std::span<const std::string> arguments);
int run_zone_in(session& current_session, std::span<const std::string> arguments);
int run_queue_stop(session& current_session, std::span<const std::string> arguments);
int run_queue_start(session& current_session, std::span<const std::string> arguments);
int run_team_add(session& current_session, std::span<const std::string> arguments);
int run_team_remove(session& current_session, std::span<const std::string> arguments);
int run_team_share(session& current_session, std::span<const std::string> arguments);

/// Set a team's limit through the store, or with --lower narrow it at once.
int run_team_limit(session& current_session, std::span<const std::string> arguments);

/// Make a key here, have its SHA-256 granted, and print the key.
int run_key_grant(session& current_session, std::span<const std::string> arguments);
int run_key_grant_operator(session& current_session, std::span<const std::string> arguments);
int run_key_withdraw(session& current_session, std::span<const std::string> arguments);

} // namespace tool
