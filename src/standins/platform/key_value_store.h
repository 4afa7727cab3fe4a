#pragma once

#include "loop/clock.h"
#include "store/kv_listing.h"

#include <absl/status/statusor.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace standins {

/// Keys, leases and recent changes of the stand-in for the key-value service. Does no I/O.
class key_value_store {
public:
    /// @return the entry of the key, or null
    [[nodiscard]] const verbenalever::kv_entry* find(std::string_view key) const;

    /// @param expected revision that the key must have, 0 if it must be absent;
    ///                 nullopt: no condition
    /// @param lease    the key is deleted when this lease expires; 0: no lease
    /// @return the new revision; ABORTED when the key has another revision
    absl::StatusOr<std::int64_t> put(std::string_view key, std::string value,
                                     std::optional<std::int64_t> expected, std::int64_t lease);

    /// @return the revision of the deletion; ABORTED when the key has another revision
    absl::StatusOr<std::int64_t> remove(std::string_view key, std::optional<std::int64_t> expected);

    [[nodiscard]] verbenalever::kv_listing list(std::string_view prefix) const;

    /// @return the changes under @p prefix after revision @p since; nullopt when the
    ///         history no longer reaches back to it
    [[nodiscard]] std::optional<verbenalever::kv_listing> changes(std::string_view prefix,
                                                                  std::int64_t since) const;

    /// @return the id of the new lease
    std::int64_t grant_lease(verbenalever::milliseconds ttl, verbenalever::monotonic_time now);

    /// @return false when the lease does not exist or has expired
    bool renew_lease(std::int64_t lease, verbenalever::monotonic_time now);

    /// Remove the expired leases and delete their keys.
    /// @return whether any key was deleted
    bool expire_leases(verbenalever::monotonic_time now);

private:
    struct lease_state {
        verbenalever::milliseconds ttl{};
        verbenalever::monotonic_time expires;
    };

    void append_history(verbenalever::kv_entry change);

    std::int64_t revision = 0;
    std::int64_t last_lease = 0;
    std::map<std::string, verbenalever::kv_entry, std::less<>> entries;
    std::map<std::string, std::int64_t, std::less<>> lease_of_key;
    std::map<std::int64_t, lease_state> leases;
    std::deque<verbenalever::kv_entry> history;
};

} // namespace standins
