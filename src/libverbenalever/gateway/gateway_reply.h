#pragma once

#include "workflows/workflow_state.h"

#include <cstdint>

namespace verbenalever {

/// Result of a caller's call, which the callers' interface converts to its own response format.
struct gateway_reply {
    enum class outcome {
        accepted,    ///< stored, or the requested information is in the reply
        refused,     ///< not accepted and will not run; the caller may retry
        unknown,     ///< may have been accepted
        no_queue,    ///< there is no such queue
        no_workflow, ///< there is no such workflow
        no_key,      ///< the access key is not valid
        invalid,     ///< malformed; a retry cannot succeed
    };

    outcome how = outcome::unknown;
    workflow_state state = workflow_state::queued;
    std::int64_t waiting_count = 0; ///< workflows of the queue that have not started
    bool from_coordinator = false;  ///< false: no coordinator was reached
    std::int64_t retry_after_s = 1; ///< with refused: recommended delay before a retry
};

} // namespace verbenalever
