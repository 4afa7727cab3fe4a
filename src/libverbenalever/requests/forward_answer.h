#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// Reply to a forward_request: the result of the attempt at the peer.
struct forward_answer {
    static constexpr const char* type = "forward_answer";

    std::uint64_t correlation = 0; ///< the one in the forward_request
    std::uint64_t incarnation = 0; ///< the one in the forward_request, whose sender it identifies
    std::string outcome;           ///< answered, not_run or unknown
    int status = 0;                ///< the target's, when answered
    std::string content_type;
    std::string body;

    MSGPACK_DEFINE_MAP(correlation, incarnation, outcome, status, content_type, body)
};

} // namespace verbenalever
