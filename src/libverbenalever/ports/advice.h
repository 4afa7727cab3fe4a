#pragma once

#include "loop/clock.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// A request to the advisor: which of these targets may run the step?
struct advice_question {
    std::string workflow;
    std::int64_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::string> targets;

    MSGPACK_DEFINE(workflow, occurrence, step, targets)
};

/// A target that may run the step, with the ticket that start orders sent to it must carry.
struct advice_grant {
    std::string target;
    std::string ticket;

    MSGPACK_DEFINE(target, ticket)
};

/// The advisor's response.
struct advice_answer {
    bool answered = false; ///< false: the advisor is busy or unreachable; retry
    std::vector<advice_grant> granted;
    std::int64_t valid_ms = 0; ///< how long the tickets are valid

    MSGPACK_DEFINE(answered, granted, valid_ms)
};

} // namespace verbenalever
