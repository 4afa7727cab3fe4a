#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_timeline_show(session& state, std::span<const std::string> arguments);
int run_timeline_svg(session& state, std::span<const std::string> arguments);
int run_timeline_waits(session& state, std::span<const std::string> arguments);
int run_timeline_check(session& state, std::span<const std::string> arguments);

} // namespace tool
