#pragma once

#include "ports/order_result.h"
#include "ports/target_view.h"
#include "ports/task_order.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// Fields common to all relayed orders: the target, and the coordinator's fencing token and lease.
struct relayed_order_header {
    std::string target;
    std::int64_t born_ms = 0;
    std::string address; ///< "IP:PORT"
    std::int64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0; ///< on the target's clock; 0: leave unchanged
    std::int64_t timeout_ms = 0;     ///< for the target's response
    std::int64_t sent_ms = 0; ///< time since boot of the coordinator's VM when the order was sent
    std::int64_t term = 0;    ///< of the coordinator; absent in messages of earlier builds

    MSGPACK_DEFINE(target, born_ms, address, fencing_token, lease_until_ms, timeout_ms, sent_ms,
                   term)
};

/// Identifies a task in a relayed message.
struct relayed_task {
    std::string workflow;
    std::int64_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    MSGPACK_DEFINE(workflow, occurrence, step, index)
};

/// Coordinator to relay: start a run.
struct relayed_start {
    relayed_order_header head;
    relayed_task task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;

    MSGPACK_DEFINE(head, task, run, payload, checkpoint, ticket)
};

/// Coordinator to relay: stop a run.
struct relayed_stop {
    relayed_order_header head;
    relayed_task task;
    std::int64_t run = 0;

    MSGPACK_DEFINE(head, task, run)
};

/// Coordinator to relay: poll a target, see target_orders::poll().
struct relayed_poll {
    relayed_order_header head;
    std::int64_t acknowledged = 0;
    std::int64_t wait_ms = 0;

    MSGPACK_DEFINE(head, acknowledged, wait_ms)
};

/// Relay to coordinator: the target's response to an order.
struct relayed_result {
    int how = 0; ///< an order_result::outcome
    std::int64_t clock_ms = 0;

    MSGPACK_DEFINE(how, clock_ms)
};

/// Relay to coordinator: one running task of a polled target.
struct relayed_running_task {
    relayed_task task;
    std::int64_t run = 0;
    std::string checkpoint;
    double percent = 0;

    MSGPACK_DEFINE(task, run, checkpoint, percent)
};

/// Relay to coordinator: one ended task of a polled target.
struct relayed_ended_task {
    std::int64_t number = 0;
    relayed_task task;
    std::int64_t run = 0;
    int how = 0; ///< a target_view::ending
    std::string checkpoint;

    MSGPACK_DEFINE(number, task, run, how, checkpoint)
};

/// Relay to coordinator: the target's response to a poll.
struct relayed_view {
    relayed_result result;
    std::vector<relayed_running_task> running;
    std::vector<relayed_ended_task> ended;
    bool more_ends = false; ///< absent in messages of earlier builds

    MSGPACK_DEFINE(result, running, ended, more_ends)
};

[[nodiscard]] relayed_order_header
header_of(const target_life& target, const order_authority& authority, milliseconds timeout);
[[nodiscard]] relayed_task relayed_task_of(const task_name& task);
[[nodiscard]] task_name task_of(const relayed_task& task);
[[nodiscard]] relayed_result relayed_result_of(const order_result& result);
/// @return the result; its outcome is unknown if the number is not a valid outcome, so that the
/// coordinator draws no conclusion from it
[[nodiscard]] order_result result_of(const relayed_result& result);
[[nodiscard]] relayed_view relayed_view_of(const target_view& view);
[[nodiscard]] target_view view_of(const relayed_view& view);

} // namespace verbenalever
