#pragma once

#include "workflows/workflow_state.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// What a member says of itself when it connects, and with each heartbeat.
struct member_greeting {
    std::string vm;
    std::string availability_zone;
    std::int64_t configuration_revision = 0;
    std::int64_t configuration_digest = 0; ///< of its content
    std::int64_t lag_ms = 0;               ///< how late its loop is
    double processor_share = 0;            ///< of one core, that its VM has
    double strongest_share = 0;            ///< largest share of any VM that it knows of
    bool store_answers = false;            ///< whether its last call to the store was answered
    bool coordinating = false;
    bool certain = false; ///< the store has confirmed lately that it coordinates
    bool leaving = false; ///< it stops soon and carries no orders any more

    MSGPACK_DEFINE(vm, availability_zone, configuration_revision, configuration_digest, lag_ms,
                   processor_share, strongest_share, store_answers, coordinating, certain, leaving)
};

/// The coordinator's reply to a call about a workflow or a queue.
struct member_reply {
    bool coordinating = false; ///< false: it does not coordinate and has done nothing
    int outcome = 0;           ///< a call_outcome
    int state = 0;             ///< a workflow_state
    std::int64_t count = 0;    ///< for a queue: workflows of which nothing has started

    MSGPACK_DEFINE(coordinating, outcome, state, count)
};

} // namespace verbenalever
