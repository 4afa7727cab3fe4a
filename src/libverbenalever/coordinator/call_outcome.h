#pragma once

namespace verbenalever {

/// Outcome of a caller's submit, status or cancel call.
enum class call_outcome : int {
    accepted = 0,  ///< record stored, workflow found, or its cancellation stored
    refused = 1,   ///< not accepted and will not run; the caller may retry later
    unknown = 2,   ///< the call may or may not have taken effect
    not_found = 3, ///< no such workflow or queue
    invalid = 4,   ///< the submission is malformed; a retry would fail too
};

} // namespace verbenalever
