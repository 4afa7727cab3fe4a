#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// Tells a peer to run a request on one of its own targets now, or to refuse it at once.
struct forward_request {
    static constexpr const char* type = "forward_request";

    std::uint64_t correlation = 0; ///< unique among the attempts of the sending process
    std::uint64_t incarnation = 0; ///< of the sending process
    std::string id;
    std::string queue;
    std::string team;
    bool repeatable = false;
    std::string body;
    /// Time left until the deadline; relative, as clocks differ between VMs.
    std::int64_t left_us = 0;

    MSGPACK_DEFINE_MAP(correlation, incarnation, id, queue, team, repeatable, body, left_us)
};

} // namespace verbenalever
