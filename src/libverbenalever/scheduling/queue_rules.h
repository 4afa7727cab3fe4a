#pragma once

#include "loop/clock.h"

namespace verbenalever {

/// What a queue policy has to know about one queue.
struct queue_rules {
    bool urgent = false;
    int priority = 0;                    ///< lower goes first under the strict policy
    milliseconds aging_interval{10'000}; ///< after this wait, work may pass work of better priority
};

} // namespace verbenalever
