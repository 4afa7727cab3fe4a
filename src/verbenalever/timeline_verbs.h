#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_timeline_show(session& current_session, std::span<const std::string> arguments);
int run_timeline_svg(session& current_session, std::span<const std::string> arguments);
int run_timeline_waits(session& current_session, std::span<const std::string> arguments);
int run_timeline_check(session& current_session, std::span<const std::string> arguments);

} // namespace tool
