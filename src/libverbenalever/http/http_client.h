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

/// An HTTP/1.1 client on the loop, with kept connections.
///
/// A call is sent at most once: the library's own resend on a connection that died is switched
/// off, since only the caller knows whether a request is idempotent.
class http_client {
public:
    using callback = std::function<void(http_result)>;

    /// How long a kept connection may have been idle, unless the options say otherwise.
    static constexpr std::chrono::seconds default_idle_limit{3};

    /// @param local_address the IPv4 address that connections come from; any when empty
    explicit http_client(event_loop& loop, std::string local_address = {});
    http_client(event_loop& loop, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Start a call.
    /// @param done called exactly once from the loop, never from within start()
    /// @return a number with which the call can be cancelled
    std::uint64_t start(http_call call, callback done);

    /// Abandon a call; its callback is not called.
    void cancel(std::uint64_t call);

private:
    class implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace verbenalever
