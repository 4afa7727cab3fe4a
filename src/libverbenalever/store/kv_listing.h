#pragma once

#include "store/kv_entry.h"

#include <vector>

namespace verbenalever {

/// The entries under one prefix, or changes to them, and the service's revision when it answered.
struct kv_listing {
    std::int64_t revision = 0;
    std::vector<kv_entry> entries;
};

} // namespace verbenalever
