#pragma once

#include "timeline/trace_event.h"

#include <span>
#include <string>

namespace verbenalever {

/// @return a line for each event: milliseconds since the first event, process, slice, event, fields
[[nodiscard]] std::string trace_text(std::span<const trace_event> events);

} // namespace verbenalever
