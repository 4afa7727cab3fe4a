#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_load(session& current_session, std::span<const std::string> arguments);

} // namespace tool
