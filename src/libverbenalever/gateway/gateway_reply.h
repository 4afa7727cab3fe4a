#pragma once

#include "workflows/workflow_state.h"

#include <cstdint>

namespace verbenalever {

/// How a caller's call ended, for the caller's interface to put into its own words.
struct gateway_reply {
    enum class outcome {
        accepted,    ///< kept; or what was asked for
        refused,     ///< not accepted, will never run; may come again
        unknown,     ///< may have been accepted
        no_queue,    ///< there is no such queue
        no_workflow, ///< there is no such workflow
        no_key,      ///< the key is not valid
        invalid,     ///< can never be accepted
    };

    outcome how = outcome::unknown;
    workflow_state state = workflow_state::queued;
    std::int64_t waiting_count = 0; ///< of a queue
    bool from_coordinator = false;  ///< a coordinator has said so, rather than that none was found
    std::int64_t retry_after_s = 1; ///< with refused: when it is best to come back
};

} // namespace verbenalever
