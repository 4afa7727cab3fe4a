#pragma once

#include "timeline/trace_event.h"

#include <span>
#include <string>

namespace verbenalever {

/// Show how workflows that ended late spent their time, from the `workflow_ended` events of the
/// coordinators.
/// @return a table with a line for each queue and lateness ("late": up to three times the
/// objective, "useless": later): number of workflows, mean time, and the percentage of that time
/// due to each cause. The column "else" is the time that no cause explains, so that the percentages
/// add up to 100.
[[nodiscard]] std::string trace_waits(std::span<const trace_event> events);

} // namespace verbenalever
