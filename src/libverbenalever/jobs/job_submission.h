#pragma once

#include "scheduling/resources.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace verbenalever {

/// A caller's request to run a job.
struct job_submission {
    std::string id; ///< chosen by the caller; submitting it again does not create another job
    std::string queue;
    std::size_t tasks = 1;
    std::optional<resources> demand; ///< of each task; absent: the queue's demand
    std::string command;             ///< JSON object that is passed to the target
    bool gang = false;               ///< all tasks start together or none
    bool service = false;            ///< ended tasks are started again until the job is cancelled
    bool repeatable = true;          ///< whether a task may be run again

    /// Parse {"id": ..., "queue": ..., "tasks": N, "demand": {...}, "command": {...},
    /// "gang": false, "service": false, "repeatable": true}; all but the queue may be absent.
    /// @return INVALID_ARGUMENT with a readable message
    [[nodiscard]] static absl::StatusOr<job_submission> parse(std::string_view text);
};

} // namespace verbenalever
