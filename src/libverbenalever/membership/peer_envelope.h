#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// What every frame between entries holds. Unknown fields are ignored, unknown types counted.
struct peer_envelope {
    static constexpr int current_version = 1;

    int version = current_version;
    std::string type;
    std::string from;              ///< name of the sending entry
    std::uint64_t incarnation = 0; ///< of the sending entry
    std::string body;              ///< the typed message, packed as a map

    MSGPACK_DEFINE_MAP(version, type, from, incarnation, body)
};

} // namespace verbenalever
