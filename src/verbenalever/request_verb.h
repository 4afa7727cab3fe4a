#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_request(session& state, std::span<const std::string> arguments);

} // namespace tool
