#pragma once

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Tells a peer entry daemon that it may request the leases of these targets.
struct lease_offer {
    static constexpr const char* type = "lease_offer";

    std::vector<std::string> targets;
    bool unreachable = false; ///< they are assigned to the sender, which cannot reach them

    MSGPACK_DEFINE_MAP(targets, unreachable)
};

} // namespace verbenalever
