#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// Asks a peer for a second opinion on another one that fell silent here.
struct probe_request {
    static constexpr const char* type = "probe_request";

    std::string peer;

    MSGPACK_DEFINE_MAP(peer)
};

} // namespace verbenalever
