#pragma once

#include "http/http_call.h"
#include "http/http_client_options.h"
#include "http/http_result.h"
#include "loop/clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace verbenalever {

class event_loop;

/// An asynchronous HTTP/1.1 client on the event loop that reuses connections.
///
/// Each call is sent at most once. libcurl's automatic resend after a reused connection has closed
/// is disabled, since only the caller knows whether a request is idempotent.
class http_client {
public:
    using callback = std::function<void(http_result)>;

    /// Default of http_client_options::idle_limit.
    static constexpr std::chrono::seconds default_idle_limit{3};

    /// @param local_address IPv4 address that connections are made from; empty: any
    explicit http_client(event_loop& loop, std::string local_address = {});
    http_client(event_loop& loop, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Start a call.
    /// @param done called once with the result, from the event loop and never from within start();
    ///        not called after cancel()
    /// @return the id of the call, for cancel()
    std::uint64_t start(http_call call, callback done);

    /// Cancel a call; its callback is not called.
    /// @param call id returned by start(); ignored when the call has ended
    void cancel(std::uint64_t call);

private:
    class implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace verbenalever
