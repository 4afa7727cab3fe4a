#pragma once

#include <cstdint>

namespace verbenalever {

/// A target's response to an order.
struct order_result {
    enum class outcome {
        done,       ///< executed, now or by an earlier copy of the order
        fenced,     ///< the target has seen a higher fencing token
        superseded, ///< this run or a later one has already ended or been stopped on the target
        expired,    ///< the lease in the order had already expired
        no_room,    ///< not enough free capacity
        bad_ticket, ///< the advisor's ticket in the order does not allow this start
        refused,    ///< not executed, for another reason
        target_restarted, ///< the target process has restarted; the order was for the process
                          ///< before the restart (see target_life)
        unknown,          ///< no response: the order may have been executed or may still be
    };

    outcome how = outcome::unknown;
    std::int64_t clock_ms = 0; ///< the target's clock when it responded; 0: not given
};

} // namespace verbenalever
