#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// Asks an entry daemon whether it has lately received a message from a peer that has sent none to
/// the asking one.
struct probe_request {
    static constexpr const char* type = "probe_request";

    std::string peer;

    MSGPACK_DEFINE_MAP(peer)
};

} // namespace verbenalever
