#pragma once

#include "http/http_server.h"
#include "loop/clock.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <string>

namespace verbenalever {

/// One caller's request, held open until it has its answer.
struct held_request {
    std::uint64_t number = 0; ///< unique in this process
    std::string id;           ///< unique over all processes
    std::string caller_id;    ///< the caller's own id for resends, or empty
    std::string queue;
    std::string team;
    bool repeatable = false;
    std::string body;
    resources demand;
    monotonic_time arrival;
    monotonic_time deadline;
    http_responder respond;
    monotonic_time sent; ///< to its target
    std::string target;  ///< where it was sent, empty while queued
};

} // namespace verbenalever
