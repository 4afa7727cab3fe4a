#pragma once

#include "workflows/workflow_record.h"

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// A workflow as a caller submits it. The caller's API key and the queue have been checked.
struct workflow_submission {
    std::string id;
    std::string queue;
    std::string team;
    workflow_spec spec;

    MSGPACK_DEFINE(id, queue, team, spec)
};

/// Outcome of a caller's submit, status or cancel call.
enum class call_outcome : int {
    accepted = 0,  ///< record stored, workflow found, or its cancellation stored
    refused = 1,   ///< not accepted and will not run; the caller may retry later
    unknown = 2,   ///< the call may or may not have taken effect
    not_found = 3, ///< no such workflow or queue
    invalid = 4,   ///< the submission is malformed; a retry would fail too
};

} // namespace verbenalever
