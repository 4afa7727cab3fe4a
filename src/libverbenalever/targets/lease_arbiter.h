#pragma once

#include "loop/clock.h"
#include "targets/lease_response.h"

#include <absl/status/statusor.h>

#include <functional>

namespace verbenalever {

struct target_record;

/// Decides which entry may start work on a target.
///
/// An arbiter grants a lease to one holder at a time, gives each new grant a greater epoch, and
/// sees to it that a start with an older epoch is refused.
class lease_arbiter {
public:
    using lease_callback = std::function<void(absl::StatusOr<lease_response>)>;
    using release_callback = std::function<void(absl::Status)>;

    virtual ~lease_arbiter() = default;

    /// Ask for the lease of a target, or renew it.
    /// @param epoch the epoch held, zero for a first grant
    /// @param ttl   how long the lease lasts from its grant
    /// @param limit longest wait for the answer; DEADLINE_EXCEEDED after it, when the lease may
    ///              have been granted all the same
    virtual void acquire(const target_record& target, std::int64_t epoch, milliseconds ttl,
                         milliseconds limit, lease_callback done) = 0;

    /// Give the lease back.
    virtual void release(const target_record& target, std::int64_t epoch,
                         release_callback done) = 0;
};

} // namespace verbenalever
