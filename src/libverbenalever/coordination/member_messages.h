#pragma once

#include "workflows/workflow_state.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// State of a process, sent when a member connects and with each heartbeat in either direction.
struct member_greeting {
    std::string vm;
    std::string availability_zone;
    std::int64_t configuration_revision = 0;
    std::int64_t configuration_digest = 0; ///< of the content of its configuration
    std::int64_t lag_ms = 0;               ///< how late its event loop runs
    double processor_share = 0;            ///< share of one core that its VM has
    double strongest_share = 0;            ///< processor_share of the fittest VM that it knows
    bool store_answers = false; ///< the store answered its last call about the coordinator
    bool coordinating = false;
    bool certain = false; ///< it is coordinator and its lease cannot have expired yet
    bool leaving = false; ///< the process stops soon and relays no more orders
    double link_mbps = 0; ///< bandwidth of its VM's link; 0: not known, or an earlier build
    double strongest_link_mbps = 0; ///< the same of the VM that strongest_share is of
    /// The coordinator may hand over to it. An earlier build sends nothing.
    bool may_coordinate = true;
    /// From the coordinator: it makes no progress, and members should see if the store answers
    /// them.
    bool store_check_wanted = false;
    bool store_checked = false; ///< the store has answered such a call within the last second

    MSGPACK_DEFINE(vm, availability_zone, configuration_revision, configuration_digest, lag_ms,
                   processor_share, strongest_share, store_answers, coordinating, certain, leaving,
                   link_mbps, strongest_link_mbps, may_coordinate, store_check_wanted,
                   store_checked)
};

/// The coordinator's reply to a call about a workflow or a queue.
struct member_reply {
    bool coordinating = false; ///< false: it is not coordinator and has done nothing
    int outcome = 0;           ///< a call_outcome
    int state = 0;             ///< a workflow_state
    std::int64_t count = 0;    ///< for a queue: number of workflows of which no task has started
    /// With call_outcome::refused: recommended delay before a retry in seconds; 0: not known, or an
    /// earlier build.
    std::int64_t retry_after_s = 0;

    MSGPACK_DEFINE(coordinating, outcome, state, count, retry_after_s)
};

} // namespace verbenalever
