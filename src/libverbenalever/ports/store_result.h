#pragma once

#include "ports/store_item.h"

#include <cstdint>
#include <vector>

namespace verbenalever {

/// Result of a transaction.
struct store_result {
    enum class outcome {
        committed,   ///< all changes were applied
        conflict,    ///< a condition failed; nothing was applied
        lease_ended, ///< the lease of a write has ended; nothing was applied, nor ever will be
        rejected,    ///< nothing was applied: store busy or rate limit exceeded
        unknown,     ///< no response: the changes may have been applied or may still be
    };

    outcome how = outcome::unknown;
    std::int64_t revision = 0; ///< of the transaction, when committed
    std::vector<store_item>
        current; ///< after a conflict: the current items of the conditions' keys
};

} // namespace verbenalever
