#pragma once

#include "ports/order_result.h"
#include "ports/target_view.h"
#include "ports/task_order.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// Whom an order is for and under which authority: the part that all relayed orders share.
struct relayed_head {
    std::string target;
    std::int64_t born_ms = 0;
    std::string address; ///< "IP:PORT"
    std::int64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0; ///< on the target's clock; 0: leave as it is
    std::int64_t timeout_ms = 0;     ///< for the target's answer
    std::int64_t sent_ms = 0;        ///< boot time at the coordinator

    MSGPACK_DEFINE(target, born_ms, address, fencing_token, lease_until_ms, timeout_ms, sent_ms)
};

/// Names a task in a relayed message.
struct relayed_task {
    std::string workflow;
    std::int64_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    MSGPACK_DEFINE(workflow, occurrence, step, index)
};

/// Coordinator to relay: start a run.
struct relayed_start {
    relayed_head head;
    relayed_task task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;

    MSGPACK_DEFINE(head, task, run, payload, checkpoint, ticket)
};

/// Coordinator to relay: stop a run.
struct relayed_stop {
    relayed_head head;
    relayed_task task;
    std::int64_t run = 0;

    MSGPACK_DEFINE(head, task, run)
};

/// Coordinator to relay: renew the lease of what runs there, and look.
struct relayed_look {
    relayed_head head;
    std::int64_t acknowledged = 0;
    std::int64_t wait_ms = 0;

    MSGPACK_DEFINE(head, acknowledged, wait_ms)
};

/// Relay to coordinator: how the target took an order.
struct relayed_result {
    int how = 0; ///< an order_result::outcome
    std::int64_t clock_ms = 0;

    MSGPACK_DEFINE(how, clock_ms)
};

/// Relay to coordinator: one row of what runs.
struct relayed_running {
    relayed_task task;
    std::int64_t run = 0;
    std::string checkpoint;
    double percent = 0;

    MSGPACK_DEFINE(task, run, checkpoint, percent)
};

/// Relay to coordinator: one end that the target lists.
struct relayed_end {
    std::int64_t number = 0;
    relayed_task task;
    std::int64_t run = 0;
    int how = 0; ///< a target_view::ending
    std::string checkpoint;

    MSGPACK_DEFINE(number, task, run, how, checkpoint)
};

/// Relay to coordinator: what a look saw.
struct relayed_view {
    relayed_result result;
    std::vector<relayed_running> running;
    std::vector<relayed_end> ended;

    MSGPACK_DEFINE(result, running, ended)
};

[[nodiscard]] relayed_head relayed_head_of(const target_life& target,
                                           const order_authority& authority, milliseconds timeout);
[[nodiscard]] relayed_task relayed_task_of(const task_name& task);
[[nodiscard]] task_name task_of(const relayed_task& task);
[[nodiscard]] relayed_result relayed_result_of(const order_result& result);
/// @return unknown for a number that names no outcome: nothing can be concluded from it
[[nodiscard]] order_result result_of(const relayed_result& result);
[[nodiscard]] relayed_view relayed_view_of(const target_view& view);
[[nodiscard]] target_view view_of(const relayed_view& view);

} // namespace verbenalever
