#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// Asks an entry whether it has heard lately from a peer that is silent for the sender.
struct probe_request {
    static constexpr const char* type = "probe_request";

    std::string peer;

    MSGPACK_DEFINE_MAP(peer)
};

} // namespace verbenalever
