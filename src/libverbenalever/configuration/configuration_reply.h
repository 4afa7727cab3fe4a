#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// Reply to a configuration_request: the stored configuration that the sender has.
struct configuration_reply {
    static constexpr const char* type = "configuration_reply";

    std::string document; ///< encoded configuration_document, including its revision

    MSGPACK_DEFINE_MAP(document)
};

} // namespace verbenalever
