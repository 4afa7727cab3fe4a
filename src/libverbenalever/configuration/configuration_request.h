#pragma once

#include <msgpack.hpp>

#include <cstdint>

namespace verbenalever {

/// Asks a peer for its kept configuration.
struct configuration_request {
    static constexpr const char* type = "configuration_request";

    std::int64_t known_revision = 0; ///< nothing is sent back unless the peer's is newer

    MSGPACK_DEFINE_MAP(known_revision)
};

} // namespace verbenalever
