#pragma once

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

/// Takes the response of one request; call it once, now or later, on the loop's thread.
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(const http_request&, http_responder)>;

/// An HTTP/1.1 server on the loop. Responses may be given later; the connection waits.
class http_server {
public:
    /// Listen and serve.
    /// @param handler called for each whole request
    /// @return UNAVAILABLE when the address cannot be bound
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<http_server>>
    listen(event_loop& loop, const endpoint& address, const http_server_limits& limits,
           http_handler handler);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @return the port bound, also when port 0 was asked for
    [[nodiscard]] std::uint16_t port() const;

    /// @return requests received whole and not yet responded to
    [[nodiscard]] std::size_t pending() const;

private:
    class implementation;
    explicit http_server(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl;
};

} // namespace verbenalever
