#pragma once

#include "http/http_call.h"
#include "http/http_result.h"
#include "loop/clock.h"
#include "loop/endpoint.h"
#include "targets/lease_response.h"
#include "targets/target_inventory.h"
#include "targets/task_start.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace verbenalever {

class counters;
class http_client;

/// Client of the targets' HTTP API. No other class depends on that protocol.
///
/// Errors: after UNAVAILABLE and DEADLINE_EXCEEDED there was no valid answer and the target may
/// have executed the call; ABORTED means that it refused the call and did nothing.
///
/// A lease call that times out may mean that a device on the network path has dropped the state of
/// the open connections. After it, every call to that target opens a new connection until the
/// idle connections in the pool are too old to be reused.
class target_client {
public:
    using done_callback = std::function<void(absl::Status)>;

    target_client(http_client& http, counters& metrics);

    /// Acquire or renew the target's lease.
    /// @param epoch the epoch of the lease to renew; zero to acquire a new one
    /// @param limit timeout
    /// @param done  receives the grant, or the refusal with the present holder
    void acquire_lease(const endpoint& target, std::string_view holder, std::int64_t epoch,
                       milliseconds ttl, milliseconds limit,
                       std::function<void(absl::StatusOr<lease_response>)> done);

    void release_lease(const endpoint& target, std::string_view holder, std::int64_t epoch,
                       done_callback done);

    /// @param done receives OK when the task was started; ABORTED when the target refused (epoch
    ///             too old, already running, no free capacity)
    void start_task(const endpoint& target, const task_start& start, std::int64_t epoch,
                    done_callback done);

    void renew_task(const endpoint& target, std::string_view task, std::int64_t epoch,
                    milliseconds lease, done_callback done);

    void stop_task(const endpoint& target, std::string_view task, std::int64_t epoch,
                   done_callback done);

    /// Tell the target that it may delete the result of a finished task.
    void forget_task(const endpoint& target, std::string_view task, done_callback done);

    void read_inventory(const endpoint& target,
                        std::function<void(absl::StatusOr<target_inventory>)> done);

    /// Send one request.
    /// @param request the request's id, which the target echoes in its answer
    /// @return the call's number, for cancel()
    std::uint64_t send_request(const endpoint& target, std::string_view request,
                               std::string_view team, std::int64_t epoch, std::string body,
                               milliseconds timeout, std::function<void(http_result)> done);

private:
    /// @return the HTTP call with the default timeout and the choice of connection for @p target
    [[nodiscard]] http_call prepare(const endpoint& target, std::string_view method,
                                    std::string_view path, std::string body) const;
    /// Use new connections for calls to @p target for a while.
    void avoid_kept_connections(const endpoint& target);
    void start_call(const endpoint& target, std::string_view method, std::string_view path,
                    std::string body, done_callback done);

    http_client& http;
    counters& metrics;
    std::map<std::string, monotonic_time, std::less<>> new_connections_until; ///< by "ADDRESS:PORT"
};

} // namespace verbenalever
