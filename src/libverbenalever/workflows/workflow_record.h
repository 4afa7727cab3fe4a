#pragma once

#include "workflows/workflow_spec.h"
#include "workflows/workflow_state.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// A workflow as stored. The record of an ended one has no specification. A cancel of a workflow
/// that is not known is stored as a cancelled workflow without a queue.
struct workflow_record {
    std::string id;    ///< chosen by the caller
    std::string queue; ///< empty: it was cancelled and has not been submitted
    std::string pool;
    std::string team;
    std::int64_t accepted_ms = 0; ///< wall clock of the coordinator, since the Unix epoch
    std::int64_t term = 0;        ///< of the coordinator that accepted it
    int state = 0;                ///< a workflow_state; queued until it has ended
    std::int64_t ended_ms = 0;    ///< wall clock; 0: it has not ended
    workflow_spec spec;           ///< empty once it has ended
    std::string reason;           ///< of a failure: the runs that decided it

    [[nodiscard]] workflow_state stored_state() const
    {
        return static_cast<workflow_state>(this->state);
    }

    [[nodiscard]] bool submitted() const
    {
        return !this->queue.empty();
    }

    MSGPACK_DEFINE(id, queue, pool, team, accepted_ms, term, state, ended_ms, spec, reason)
};

} // namespace verbenalever
