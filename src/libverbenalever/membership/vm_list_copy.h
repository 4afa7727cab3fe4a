#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// The platform's VM list, sent to a peer that cannot read it from the platform itself.
struct vm_list_copy {
    static constexpr const char* type = "vm_list_copy";

    /// Wall clock of the VM that read the list, just before it requested it.
    std::int64_t read_at_us = 0;
    std::string text; ///< unchanged from the platform

    MSGPACK_DEFINE_MAP(read_at_us, text)
};

} // namespace verbenalever
