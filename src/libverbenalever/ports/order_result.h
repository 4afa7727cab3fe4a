#pragma once

#include <cstdint>

namespace verbenalever {

/// How a target took an order.
struct order_result {
    enum class outcome {
        done,             ///< carried out, or had been before
        fenced,           ///< a newer authority has spoken to this target
        superseded,       ///< this run, or a later one, has ended or been stopped there
        expired,          ///< the lease named had passed already
        no_room,          ///< it does not fit
        bad_ticket,       ///< the advisor's ticket does not cover it
        refused,          ///< not carried out for another reason
        target_restarted, ///< the target has started again since
        unknown,          ///< no answer: it may be carried out, also later
    };

    outcome how = outcome::unknown;
    std::int64_t clock_ms = 0; ///< the target's clock when it answered; 0: not said
};

} // namespace verbenalever
