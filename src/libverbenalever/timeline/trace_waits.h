#pragma once

#include "timeline/trace_event.h"

#include <span>
#include <string>

namespace verbenalever {

/// Tell where the time of late workflows went, from the coordinators' `workflow_ended` lines.
/// @return a table: for each queue and lateness (up to three times the objective, later) the number
/// of workflows, the mean time taken and, in parts of a hundred of it, each cause; the causes and
/// what is in none of them add up to the whole
[[nodiscard]] std::string trace_waits(std::span<const trace_event> events);

} // namespace verbenalever
