#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// Acknowledges a restriction_notice: at the sender the restrictions are in force, or its stored
/// configuration already includes or reverses them.
struct restriction_ack {
    static constexpr const char* type = "restriction_ack";

    std::vector<std::string> ids;
    /// Incarnation of the sender. After a restart, with a later incarnation, the sender no longer
    /// has the restrictions.
    std::uint64_t incarnation = 0;

    MSGPACK_DEFINE_MAP(ids, incarnation)
};

} // namespace verbenalever
