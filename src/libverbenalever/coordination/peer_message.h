#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// What one process asks of another, or tells it.
enum class peer_topic : int {
    heartbeat = 0,
    hello = 1,         ///< member to coordinator: who I am
    submit = 2,        ///< member to coordinator: a caller's workflow
    status = 3,        ///< member to coordinator: where does a workflow stand
    cancel = 4,        ///< member to coordinator: a caller cancels
    queue_length = 5,  ///< member to coordinator: how long is a queue
    advise = 6,        ///< coordinator to member: ask the advisor
    configuration = 7, ///< either way: the operators' configuration as read here
    start_run = 8,     ///< coordinator to member: give a target the order to start a run
    stop_run = 9,      ///< coordinator to member: give a target the order to stop a run
    poll_target = 10,  ///< coordinator to member: renew a target's lease and look
};

/// One frame between two processes.
struct peer_message {
    enum class form : int { call = 0, reply = 1, notification = 2 };

    int kind = 0;           ///< a form
    std::uint64_t call = 0; ///< pairs a reply with its call; 0 in notes
    int topic = 0;          ///< a peer_topic
    std::string payload;

    MSGPACK_DEFINE(kind, call, topic, payload)
};

} // namespace verbenalever
