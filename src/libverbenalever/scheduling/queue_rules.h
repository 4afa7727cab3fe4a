#pragma once

#include "loop/clock.h"

namespace verbenalever {

/// Configuration of one queue that queue policies use.
struct queue_rules {
    bool urgent = false;                 ///< starts before other work under the share policy
    int priority = 0;                    ///< lower goes first under the strict policy
    milliseconds aging_interval{10'000}; ///< work that has waited longer may start out of turn
};

} // namespace verbenalever
