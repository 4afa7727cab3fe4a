#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_config_check(session& current_session, std::span<const std::string> arguments);
int run_config_show(session& current_session, std::span<const std::string> arguments);
int run_config_diff(session& current_session, std::span<const std::string> arguments);
int run_config_history(session& current_session, std::span<const std::string> arguments);
int run_config_apply(session& current_session, std::span<const std::string> arguments);
int run_key_make(session& current_session, std::span<const std::string> arguments);

} // namespace tool
