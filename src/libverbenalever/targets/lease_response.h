#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <string>

namespace verbenalever {

/// What an arbiter said to a request for a target's lease.
struct lease_response {
    bool granted = false;
    std::int64_t epoch = 0;    ///< of the lease that stands now
    std::string holder;        ///< who holds it when it was not granted
    milliseconds remaining{0}; ///< how long that holder has it, unless it renews
};

} // namespace verbenalever
