#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// What a message between two processes is about.
enum class peer_topic : int {
    heartbeat = 0,
    hello = 1,         ///< member to coordinator: its greeting
    submit = 2,        ///< member to coordinator: submit a caller's workflow
    status = 3,        ///< member to coordinator: get the state of a workflow
    cancel = 4,        ///< member to coordinator: cancel a workflow
    queue_length = 5,  ///< member to coordinator: count the waiting workflows of a queue
    advise = 6,        ///< coordinator to member: ask the advisor
    configuration = 7, ///< either way: snapshot of the operators' configuration
    start_run = 8,     ///< coordinator to member: send a start order to a target
    stop_run = 9,      ///< coordinator to member: send a stop order to a target
    poll_target = 10,  ///< coordinator to member: poll a target and renew its lease
};

/// A frame on the connection between two processes.
struct peer_message {
    enum class form : int { call = 0, reply = 1, notification = 2 };

    int kind = 0;           ///< a form
    std::uint64_t call = 0; ///< number of the call, also in its reply; 0 in notifications
    int topic = 0;          ///< a peer_topic
    std::string payload;
    /// In a heartbeat: when it was sent, in milliseconds on a clock of the sender; 0 in other
    /// messages and from builds without this field.
    std::int64_t sent_ms = 0;
    /// In a heartbeat: the greatest sent_ms that the sender has received on this connection.
    std::int64_t echoed_ms = 0;

    MSGPACK_DEFINE(kind, call, topic, payload, sent_ms, echoed_ms)
};

} // namespace verbenalever
