#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_config_check(session& state, std::span<const std::string> arguments);
int run_config_show(session& state, std::span<const std::string> arguments);
int run_config_diff(session& state, std::span<const std::string> arguments);
int run_config_history(session& state, std::span<const std::string> arguments);
int run_config_apply(session& state, std::span<const std::string> arguments);
int run_key_make(session& state, std::span<const std::string> arguments);

} // namespace tool
