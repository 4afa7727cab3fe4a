#pragma once

#include <cstdint>
#include <string>

namespace verbenalever {

/// The recorded state of one task of a job.
struct job_task {
    /// pending, placed, done, failed, cancelled or unknown (it may have run in whole or in part,
    /// and must not be run again)
    std::string state = "pending";
    std::string target;  ///< on which it was last placed
    std::string attempt; ///< id of the last start; unique among the task's starts
    std::string result;
    std::int64_t failures = 0;    ///< starts that ended in failure
    std::int64_t progress_ms = 0; ///< progress at the last checkpoint reported

    /// @return whether it will not be started again
    [[nodiscard]] bool ended() const
    {
        return this->state != "pending" && this->state != "placed";
    }
};

} // namespace verbenalever
