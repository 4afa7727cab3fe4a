#pragma once

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace verbenalever {

/// Tells a peer of restrictions that are in force and not kept yet.
struct restriction_notice {
    static constexpr const char* type = "restriction_notice";

    std::vector<std::string> restrictions; ///< each a restriction's encoding

    MSGPACK_DEFINE_MAP(restrictions)
};

} // namespace verbenalever
