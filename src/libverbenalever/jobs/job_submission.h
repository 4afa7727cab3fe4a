#pragma once

#include "scheduling/resources.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace verbenalever {

/// A job as a caller describes it.
struct job_submission {
    std::string queue;
    std::size_t tasks = 1;
    std::optional<resources> demand; ///< of each task; the queue's when absent
    std::string command;             ///< JSON that targets understand

    /// Read {"queue": ..., "tasks": N, "demand": {...}, "command": {...}}.
    /// @return INVALID_ARGUMENT with a readable message
    [[nodiscard]] static absl::StatusOr<job_submission> parse(std::string_view text);
};

} // namespace verbenalever
