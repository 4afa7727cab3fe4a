#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_entries(session& state, std::span<const std::string> arguments);
int run_targets(session& state, std::span<const std::string> arguments);

} // namespace tool
