#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// The platform's VM list as one entry read it, on its way to a peer that cannot.
struct vm_list_copy {
    static constexpr const char* type = "vm_list_copy";

    std::int64_t read_at_us = 0; ///< wall clock of the entry that read it, before it asked
    std::string text;            ///< as the platform sent it

    MSGPACK_DEFINE_MAP(read_at_us, text)
};

} // namespace verbenalever
