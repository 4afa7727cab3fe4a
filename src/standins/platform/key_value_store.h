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

/// The stand-in's keys, revisions and recent changes. Pure state: no input or output.
class key_value_store {
public:
    /// @return the key, or null
    [[nodiscard]] const verbenalever::kv_entry* find(std::string_view key) const;

    /// @param expected revision the key must have (zero: be absent); nothing writes in any case
    /// @param lease    the key is deleted when this lease lapses; zero for none
    /// @return the new revision; ABORTED when the key has another revision
    absl::StatusOr<std::int64_t> put(std::string_view key, std::string value,
                                     std::optional<std::int64_t> expected, std::int64_t lease);

    /// @return the revision of the deletion; ABORTED when the key has another revision
    absl::StatusOr<std::int64_t> remove(std::string_view key, std::optional<std::int64_t> expected);

    [[nodiscard]] verbenalever::kv_listing list(std::string_view prefix) const;

    /// @return the changes under @p prefix after @p since; nothing when they are no longer known
    [[nodiscard]] std::optional<verbenalever::kv_listing> changes(std::string_view prefix,
                                                                  std::int64_t since) const;

    /// @return a new lease
    std::int64_t grant_lease(verbenalever::milliseconds ttl, verbenalever::monotonic_time now);

    /// @return whether the lease still stood
    bool renew_lease(std::int64_t lease, verbenalever::monotonic_time now);

    /// Delete the keys of lapsed leases.
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
