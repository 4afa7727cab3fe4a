#pragma once

#include <msgpack.hpp>

#include <cstdint>

namespace verbenalever {

/// Asks a peer for the stored configuration that it has.
struct configuration_request {
    static constexpr const char* type = "configuration_request";

    /// Newest revision that the sender has; the peer only replies with a newer one.
    std::int64_t known_revision = 0;

    MSGPACK_DEFINE_MAP(known_revision)
};

} // namespace verbenalever
