#pragma once

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Sends a peer the restrictions that are in force at the sender and not stored yet.
struct restriction_notice {
    static constexpr const char* type = "restriction_notice";

    std::vector<std::string> restrictions; ///< encoded restrictions

    MSGPACK_DEFINE_MAP(restrictions)
};

} // namespace verbenalever
