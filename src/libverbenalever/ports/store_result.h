#pragma once

#include "ports/store_item.h"

#include <cstdint>
#include <vector>

namespace verbenalever {

/// How a transaction ended.
struct store_result {
    enum class outcome {
        committed, ///< all of it happened
        conflict,  ///< a condition failed, nothing happened
        rejected,  ///< the store did nothing: it is busy, over its rate, or a lease has ended
        unknown,   ///< no answer: it may have happened, or may still happen
    };

    outcome how = outcome::unknown;
    std::int64_t revision = 0;       ///< of the change, when committed
    std::vector<store_item> current; ///< the conditions' keys as they are, after a conflict
};

} // namespace verbenalever
