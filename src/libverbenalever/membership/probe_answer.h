#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// Confirms that the sender has lately received a message from the peer named in a probe request.
/// An entry daemon that has not received one sends no answer.
struct probe_answer {
    static constexpr const char* type = "probe_answer";

    std::string peer;

    MSGPACK_DEFINE_MAP(peer)
};

} // namespace verbenalever
