#pragma once

#include "ports/target_view.h"
#include "ports/task_order.h"

#include <functional>

namespace verbenalever {

/// Sends orders to targets. Every callback runs exactly once, from the loop.
class target_orders {
public:
    using order_callback = std::function<void(order_result)>;
    using view_callback = std::function<void(target_view)>;

    virtual ~target_orders() = default;

    virtual void start(const target_life& target, const order_authority& authority,
                       const start_order& order, milliseconds timeout, order_callback done) = 0;

    virtual void stop(const target_life& target, const order_authority& authority,
                      const task_name& task, std::int64_t run, milliseconds timeout,
                      order_callback done) = 0;

    /// Renew the lease of the tasks that run on the target, let it forget the ended tasks up to
    /// number @p acknowledged, and get its running and its other ended tasks.
    /// @param wait how long the target may wait for a task to end before it responds
    virtual void poll(const target_life& target, const order_authority& authority,
                      std::int64_t acknowledged, milliseconds wait, milliseconds timeout,
                      view_callback done) = 0;
};

} // namespace verbenalever
