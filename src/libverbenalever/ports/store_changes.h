#pragma once

#include "ports/store_item.h"

#include <vector>

namespace verbenalever {

/// What happened to the keys under a prefix, oldest first.
struct store_changes {
    std::vector<store_item> items;
    std::int64_t revision = 0; ///< watch on from here
};

} // namespace verbenalever
