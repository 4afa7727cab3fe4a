#pragma once

#include "loop/clock.h"
#include "targets/lease_response.h"

#include <absl/status/statusor.h>

#include <functional>

namespace verbenalever {

struct target_record;

/// Grants the leases of targets. Only the entry daemon that holds a target's lease may start work
/// on it.
///
/// An arbiter grants a lease to one holder at a time, gives each new lease a greater epoch (a
/// fencing token), and ensures that a start with an older epoch is refused.
class lease_arbiter {
public:
    using lease_callback = std::function<void(absl::StatusOr<lease_response>)>;
    using release_callback = std::function<void(absl::Status)>;

    virtual ~lease_arbiter() = default;

    /// Acquire or renew the lease of a target.
    /// @param epoch the epoch of the lease to renew; zero to acquire a new one
    /// @param ttl   how long the lease lasts from its grant
    /// @param limit timeout; after it the result is DEADLINE_EXCEEDED and the lease may have been
    ///              granted nevertheless
    virtual void acquire(const target_record& target, std::int64_t epoch, milliseconds ttl,
                         milliseconds limit, lease_callback done) = 0;

    /// Release the lease before it expires.
    virtual void release(const target_record& target, std::int64_t epoch,
                         release_callback done) = 0;
};

} // namespace verbenalever
