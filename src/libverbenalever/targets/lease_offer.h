#pragma once

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Tells an entry that the leases of these targets were just given back for it to take.
struct lease_offer {
    static constexpr const char* type = "lease_offer";

    std::vector<std::string> targets;

    MSGPACK_DEFINE_MAP(targets)
};

} // namespace verbenalever
