#pragma once

#include <msgpack.hpp>

#include <cstdint>

namespace verbenalever {

/// Answers a heartbeat on the connection it came by, which shows that the connection is alive.
struct heartbeat_ack {
    static constexpr const char* type = "heartbeat_ack";

    std::uint64_t incarnation = 0;

    MSGPACK_DEFINE_MAP(incarnation)
};

} // namespace verbenalever
