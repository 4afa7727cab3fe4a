#pragma once

#include "http/http_load_event.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "http/http_server_limits.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace verbenalever {

class event_loop;
struct endpoint;

/// Sends the response to one request. Call it once, from within the handler or later, on the thread
/// of the event loop; further calls are ignored.
using http_responder = std::function<void(http_response)>;

/// Handles one request; must call the responder.
using http_handler = std::function<void(const http_request&, http_responder)>;

/// An HTTP/1.1 server on the event loop. A handler may respond asynchronously; the connection is
/// suspended until it does.
class http_server {
public:
    /// Listen on @p address and serve requests.
    /// @param handler called for each complete request
    /// @param observer called for each refused body and, while connections are open, once a second
    /// @return UNAVAILABLE when the address cannot be bound
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<http_server>>
    listen(event_loop& loop, const endpoint& address, const http_server_limits& limits,
           http_handler handler, http_load_observer observer = {});

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @return the port that the server listens on; chosen by the system when port 0 was given
    [[nodiscard]] std::uint16_t port() const;

    /// @return number of requests that were passed to the handler and have no response yet
    [[nodiscard]] std::size_t pending() const;

private:
    class implementation;
    explicit http_server(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl;
};

} // namespace verbenalever
