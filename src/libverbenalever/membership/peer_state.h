#pragma once

#include "loop/clock.h"
#include "loop/endpoint.h"
#include "membership/heartbeat.h"

#include <string>

namespace verbenalever {

/// What this entry knows about another one.
struct peer_state {
    std::string name;
    endpoint address;
    std::string availability_zone;
    heartbeat last_heartbeat;      ///< its newest heartbeat
    std::uint64_t incarnation = 0; ///< greatest one heard; what older ones sent is ignored
    monotonic_time last_heard;
    monotonic_time probe_confirmed_until; ///< another entry heard from it while it was silent here
    bool alive = false;                   ///< heard from lately
    bool leaving = false;                 ///< the platform or the peer itself says that it will go
};

} // namespace verbenalever
