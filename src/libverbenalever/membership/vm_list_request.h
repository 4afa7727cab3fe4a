#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// Asks a peer for the platform's VM list as it knows it.
struct vm_list_request {
    static constexpr const char* type = "vm_list_request";

    std::string reason; ///< for people who read a capture

    MSGPACK_DEFINE_MAP(reason)
};

} // namespace verbenalever
