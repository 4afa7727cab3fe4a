#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// Answers a restriction_notice: the named restrictions are in force at the sender, or settled.
struct restriction_ack {
    static constexpr const char* type = "restriction_ack";

    std::vector<std::string> ids;
    std::uint64_t incarnation = 0; ///< of the sender; a later one has forgotten them

    MSGPACK_DEFINE_MAP(ids, incarnation)
};

} // namespace verbenalever
