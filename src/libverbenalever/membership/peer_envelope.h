#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// Content of every frame between entry daemons. Unknown fields are ignored; messages of unknown
/// types are counted and ignored.
struct peer_envelope {
    static constexpr int current_version = 1;

    int version = current_version;
    std::string type;
    std::string from;              ///< name of the sending entry daemon
    std::uint64_t incarnation = 0; ///< of the sending entry daemon, see heartbeat
    std::string body;              ///< the typed message, packed as a map

    MSGPACK_DEFINE_MAP(version, type, from, incarnation, body)
};

} // namespace verbenalever
