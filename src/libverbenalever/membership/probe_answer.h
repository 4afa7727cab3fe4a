#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// A second opinion: sent only by those that heard from the peer lately.
struct probe_answer {
    static constexpr const char* type = "probe_answer";

    std::string peer;

    MSGPACK_DEFINE_MAP(peer)
};

} // namespace verbenalever
