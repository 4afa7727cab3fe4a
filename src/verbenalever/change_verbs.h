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

/// Set a team's upper limit in the stored configuration, or with --lower reduce it at once by a
/// restriction, which does not need the store.
int run_team_limit(session& current_session, std::span<const std::string> arguments);

/// Generate a key for a team, send only its SHA-256 to the entry, and print the key.
int run_key_grant(session& current_session, std::span<const std::string> arguments);
int run_key_grant_operator(session& current_session, std::span<const std::string> arguments);
int run_key_withdraw(session& current_session, std::span<const std::string> arguments);

} // namespace tool
