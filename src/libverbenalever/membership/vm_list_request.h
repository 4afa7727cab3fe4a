#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// Asks a peer for its copy of the platform's VM list.
struct vm_list_request {
    static constexpr const char* type = "vm_list_request";

    std::string reason; ///< not used; for people who read network captures

    MSGPACK_DEFINE_MAP(reason)
};

} // namespace verbenalever
