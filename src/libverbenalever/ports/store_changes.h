#pragma once

#include "ports/store_item.h"

#include <vector>

namespace verbenalever {

/// Changes to the keys under a prefix, oldest first.
struct store_changes {
    std::vector<store_item> items;
    std::int64_t revision = 0; ///< revision from which to continue the watch
};

} // namespace verbenalever
