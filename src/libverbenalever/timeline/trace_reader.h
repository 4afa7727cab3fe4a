#pragma once

#include "timeline/trace_event.h"

#include <absl/status/statusor.h>

#include <span>
#include <string>
#include <vector>

namespace verbenalever {

/// Read the logs of several processes of one machine and merge their events by monotonic time.
/// Lines that are not events, such as the truncated last line of a killed process, are skipped.
/// @return NOT_FOUND when a file cannot be read
[[nodiscard]] absl::StatusOr<std::vector<trace_event>>
read_trace(std::span<const std::string> files);

} // namespace verbenalever
