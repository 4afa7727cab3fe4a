#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// A kept configuration, sent to the peer that asked.
struct configuration_reply {
    static constexpr const char* type = "configuration_reply";

    std::string document; ///< configuration_document with its revision

    MSGPACK_DEFINE_MAP(document)
};

} // namespace verbenalever
