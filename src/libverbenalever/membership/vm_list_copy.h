#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// The platform's VM list, sent to a peer that cannot read it from the platform itself.
struct vm_list_copy {
    static constexpr const char* type = "vm_list_copy";

    std::int64_t read_at_us = 0; ///< wall clock of the reader just before it requested the list
    std::string text;            ///< unchanged from the platform

    MSGPACK_DEFINE_MAP(read_at_us, text)
};

} // namespace verbenalever
