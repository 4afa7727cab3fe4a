#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <string>

namespace verbenalever {

/// An arbiter's reply to a request for a target's lease.
struct lease_response {
    bool granted = false;
    std::int64_t epoch = 0;    ///< of the lease that is valid at the time of the reply
    std::string holder;        ///< who holds the lease when it was not granted
    milliseconds remaining{0}; ///< until that holder's lease expires, unless renewed
};

} // namespace verbenalever
