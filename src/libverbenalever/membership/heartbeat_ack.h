#pragma once

#include <msgpack.hpp>

#include <cstdint>

namespace verbenalever {

/// Answers a heartbeat on the connection on which it arrived, to show that the connection is alive.
struct heartbeat_ack {
    static constexpr const char* type = "heartbeat_ack";

    std::uint64_t incarnation = 0;
    std::uint64_t known_incarnation =
        0; ///< greatest incarnation seen of the heartbeat's sender; 0: none

    MSGPACK_DEFINE_MAP(incarnation, known_incarnation)
};

} // namespace verbenalever
