#pragma once

#include "jobs/job_task.h"
#include "scheduling/resources.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// One job as the platform's service keeps it.
struct job_record {
    std::string id;
    std::string queue;
    std::string team;
    std::string driver; ///< the entry that drives it
    resources demand;   ///< of each task
    std::string command;
    std::vector<job_task> tasks;

    /// @return the record as JSON
    [[nodiscard]] std::string text() const;

    /// @return INVALID_ARGUMENT when the text is not a record
    [[nodiscard]] static absl::StatusOr<job_record> parse(std::string_view text);

    /// @return whether every task has ended
    [[nodiscard]] bool finished() const;
};

} // namespace verbenalever
