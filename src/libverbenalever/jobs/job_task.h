#pragma once

#include <cstdint>
#include <string>

namespace verbenalever {

/// The recorded state of one task of a job.
struct job_task {
    /// pending, placed, done, failed, cancelled or unknown (it may have run once, in whole or part)
    std::string state = "pending";
    std::string target;  ///< where it was placed last
    std::string attempt; ///< the start that counts; unique over all starts of the task
    std::string result;
    std::int64_t failures = 0;    ///< starts that ended in failure
    std::int64_t progress_ms = 0; ///< of the last checkpoint seen

    /// @return whether nothing more will be done for it
    [[nodiscard]] bool ended() const
    {
        return this->state != "pending" && this->state != "placed";
    }
};

} // namespace verbenalever
