#pragma once

#include <string>

namespace verbenalever {

/// The recorded state of one task of a job.
struct job_task {
    std::string state = "pending"; ///< pending, placed, done or failed
    std::string target;            ///< where it was placed last
    std::string attempt;           ///< the start that counts
    std::string result;
};

} // namespace verbenalever
