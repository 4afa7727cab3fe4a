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

/// Talks to targets. The only place that knows their HTTP protocol.
///
/// Errors: UNAVAILABLE and DEADLINE_EXCEEDED mean that no answer came and the target may have
/// acted; ABORTED means that it refused and did nothing.
///
/// A lease call that gets no answer in time may mean that something between the two ends has lost
/// track of the open connections. For a while after it every call to that target opens a new one,
/// until the kept ones are too old to be used again.
class target_client {
public:
    using done_callback = std::function<void(absl::Status)>;

    target_client(http_client& http, counters& metrics);

    /// Ask for the target's lease, or renew it.
    /// @param epoch the epoch held, zero for a first grant
    /// @param limit longest wait for the answer
    /// @param done  the grant, or who holds the lease now
    void acquire_lease(const endpoint& target, std::string_view holder, std::int64_t epoch,
                       milliseconds ttl, milliseconds limit,
                       std::function<void(absl::StatusOr<lease_response>)> done);

    void release_lease(const endpoint& target, std::string_view holder, std::int64_t epoch,
                       done_callback done);

    /// @param done OK when started; ABORTED when refused (epoch too old, running, no room)
    void start_task(const endpoint& target, const task_start& start, std::int64_t epoch,
                    done_callback done);

    void renew_task(const endpoint& target, std::string_view task, std::int64_t epoch,
                    milliseconds lease, done_callback done);

    void stop_task(const endpoint& target, std::string_view task, std::int64_t epoch,
                   done_callback done);

    /// Let the target drop the result of a finished task.
    void forget_task(const endpoint& target, std::string_view task, done_callback done);

    void read_inventory(const endpoint& target,
                        std::function<void(absl::StatusOr<target_inventory>)> done);

    /// Send one request.
    /// @param request the caller's or our own id for it, echoed by the target in its answer
    /// @return the call's number, for cancel()
    std::uint64_t send_request(const endpoint& target, std::string_view request,
                               std::string_view team, std::int64_t epoch, std::string body,
                               milliseconds timeout, std::function<void(http_result)> done);

private:
    /// @return the call with what is the same for every call to @p target filled in
    [[nodiscard]] http_call prepare(const endpoint& target, std::string_view method,
                                    std::string_view path, std::string body) const;
    void avoid_kept_connections(const endpoint& target);
    void start_call(const endpoint& target, std::string_view method, std::string_view path,
                    std::string body, done_callback done);

    http_client& http;
    counters& metrics;
    std::map<std::string, monotonic_time, std::less<>> new_connections_until; ///< by "ADDRESS:PORT"
};

} // namespace verbenalever
