#pragma once

#include "timeline/trace_event.h"

#include <span>
#include <string>

namespace verbenalever {

/// Draw events: a lane for each process, a bar for each run of a task or request on its target, and
/// a mark for each fault or change of state. Bars and marks have titles, which browsers show as
/// tooltips.
/// @return one SVG document
[[nodiscard]] std::string trace_svg(std::span<const trace_event> events);

} // namespace verbenalever
