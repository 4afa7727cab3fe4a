#pragma once

#include "scheduling/queued_work.h"

#include <cstdint>
#include <list>

namespace verbenalever {

/// A piece of waiting work with its number in the order of arrival.
struct sequenced_work {
    queued_work work;
    std::uint64_t sequence = 0;
};

/// A list, so that work can be removed at any position in constant time.
using work_list = std::list<sequenced_work>;

} // namespace verbenalever
