#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace verbenalever {

/// What a server reports of the bodies that it receives and of its connections.
struct http_load_event {
    enum class kind {
        usage,     ///< regular report
        refused,   ///< a body has no room, or was ended to make room; its request did not run
        timed_out, ///< a body or connection has exceeded a time limit; its request did not run
        closed,    ///< a connection without a request was ended since there are too many
    };

    kind what = kind::usage;
    std::string_view source;      ///< IP address of the client; empty for usage
    std::size_t body_bytes = 0;   ///< received of the body that was refused or has timed out
    std::size_t bodies_bytes = 0; ///< memory of all bodies
    std::size_t connections = 0;  ///< open connections
};

/// Called on the thread of the event loop.
using http_load_observer = std::function<void(const http_load_event&)>;

} // namespace verbenalever
