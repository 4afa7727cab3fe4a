#pragma once

#include "loop/clock.h"
#include "loop/endpoint.h"
#include "membership/heartbeat.h"

#include <string>

namespace verbenalever {

/// What this entry daemon knows about another one.
struct peer_state {
    std::string name;
    endpoint address;
    std::string availability_zone;
    heartbeat last_heartbeat;      ///< the latest one of its current incarnation
    std::uint64_t incarnation = 0; ///< greatest one seen; messages of older ones are ignored
    monotonic_time last_heard;
    monotonic_time probe_confirmed_until; ///< until then the peer counts as alive, because another
                                          ///< entry daemon lately received a message from it
    bool alive = false;   ///< this or another entry daemon lately received a message from it
    bool leaving = false; ///< the platform lists its VM as leaving
};

} // namespace verbenalever
