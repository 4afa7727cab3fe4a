#pragma once

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Tells an entry that the leases of these targets are free for it to take.
struct lease_offer {
    static constexpr const char* type = "lease_offer";

    std::vector<std::string> targets;
    bool unreachable = false; ///< the sender is named for them and cannot reach them

    MSGPACK_DEFINE_MAP(targets, unreachable)
};

} // namespace verbenalever
