#pragma once

#include "ports/store_item.h"

#include <vector>

namespace verbenalever {

/// Some of the items under a prefix, in key order.
struct store_page {
    std::vector<store_item> items;
    bool more = false;         ///< there are further items after the last one of this page
    std::int64_t revision = 0; ///< the store's revision when the page was read
};

} // namespace verbenalever
