#pragma once

#include "store/kv_entry.h"

#include <vector>

namespace verbenalever {

/// The keys under one prefix with their values, or the changes to them, and the service's revision
/// when it answered.
struct kv_listing {
    std::int64_t revision = 0;
    std::vector<kv_entry> entries;
};

} // namespace verbenalever
