#pragma once

#include "store/vm_record.h"

#include <absl/status/statusor.h>

#include <vector>

namespace tool {

class session;

/// Ask all live entries for the targets of their zones.
/// @return name, zone and capacity of the targets of all zones; UNAVAILABLE with the reason when an
///         availability zone that has entries did not answer
[[nodiscard]] absl::StatusOr<std::vector<verbenalever::vm_record>>
read_live_targets(session& current_session);

} // namespace tool
