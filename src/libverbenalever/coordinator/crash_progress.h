#pragma once

#include "coordinator/crash_history.h"
#include "coordinator/progress_entry.h"

#include <optional>

namespace verbenalever {

/// @return how a run under which its target has crashed is stored
[[nodiscard]] progress_entry::ending crash_ending(crash_evidence evidence);

/// @return the evidence in an entry about a crash; none in other entries
[[nodiscard]] std::optional<crash_evidence> crash_evidence_of(const progress_entry& entry);

} // namespace verbenalever
