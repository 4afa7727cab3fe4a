#pragma once

#include "loop/clock.h"
#include "ports/store_changes.h"
#include "ports/store_page.h"
#include "ports/store_result.h"
#include "ports/store_transaction.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>

namespace verbenalever {

/// The key-value service that stores durable state, with transactions, leases and watches.
///
/// Every callback runs exactly once, from the loop. Reads fail with UNAVAILABLE when the store
/// cannot be reached or refuses to serve this machine.
class metadata_store {
public:
    virtual ~metadata_store() = default;

    /// Apply all writes and deletes of @p change if all of its conditions hold.
    virtual void transact(store_transaction change, std::function<void(store_result)> done) = 0;

    /// Read one key; the read is linearizable, i.e. it sees all writes that were completed before.
    /// @param done receives nullopt when the key does not exist
    virtual void read(const std::string& key,
                      std::function<void(absl::StatusOr<std::optional<store_item>>)> done) = 0;

    /// Read a page of the keys under @p prefix that come after key @p after.
    virtual void list(const std::string& prefix, const std::string& after,
                      std::function<void(absl::StatusOr<store_page>)> done) = 0;

    /// Long-poll for changes after @p revision, for at most @p wait.
    /// @param done receives OUT_OF_RANGE when the store no longer has the changes since @p revision
    virtual void watch(const std::string& prefix, std::int64_t revision, milliseconds wait,
                       std::function<void(absl::StatusOr<store_changes>)> done) = 0;

    /// Create a lease.
    /// @param done receives its id
    virtual void grant_lease(milliseconds ttl,
                             std::function<void(absl::StatusOr<std::int64_t>)> done) = 0;

    /// Renew a lease.
    /// @param done receives NOT_FOUND when it has expired or was revoked
    virtual void renew_lease(std::int64_t lease, std::function<void(absl::Status)> done) = 0;

    /// Revoke a lease; the store deletes the keys bound to it.
    virtual void revoke_lease(std::int64_t lease, std::function<void(absl::Status)> done) = 0;
};

} // namespace verbenalever
