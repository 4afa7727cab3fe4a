#pragma once

#include "loop/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace verbenalever {

class counters;
class kv_client;
struct kv_entry;

/// Claims on the callers' ids of requests that are not repeatable. They are stored in the
/// platform's key-value store, so that a resend through another entry daemon does not run the
/// request again.
///
/// A claim is written by create-if-absent and contains its writer's id. If the reply to a write is
/// lost, reading the key shows whose claim it is. Claims are attached to store leases that are
/// never renewed, so they are deleted when the lease expires.
class request_id_claims {
public:
    /// Result of an attempt to claim an id.
    enum class result {
        claimed,           ///< this entry daemon may run the request
        claimed_elsewhere, ///< another process holds a claim on the id
        unavailable        ///< the store gave no answer; the claim may exist
    };

    /// @param holder HTTP address of the entry daemon that holds the claim; empty when unavailable
    using callback = std::function<void(result, const std::string& holder)>;

    /// @param address this entry daemon's HTTP address; another entry daemon tells it to callers
    ///                that resend a request there
    request_id_claims(kv_client& store, counters& metrics, std::string address);

    /// Claim @p key for @p writer.
    /// @param writer id unique to the claim. An existing claim whose writer differs only after the
    ///               last '.' is of an earlier request of this process that did not run, and is
    ///               replaced.
    void claim(const std::string& key, const std::string& writer, callback done);

    /// Delete the claim of a request that certainly did not run. If that fails, the claim remains
    /// until its store lease expires.
    void release(const std::string& key, const std::string& writer);

private:
    using lease_callback = std::function<void(absl::StatusOr<std::int64_t>)>;

    /// Call @p done with the current store lease, after granting a new one if necessary.
    void with_store_lease(lease_callback done);
    void handle_store_lease(absl::StatusOr<std::int64_t> lease, monotonic_time requested_at);
    /// One claim that is being written to the store.
    struct claim_attempt {
        std::string key;
        std::string writer;
        std::int64_t lease = 0;
        std::int64_t expected = 0; ///< revision that the write replaces; zero: the key is absent
        int writes_left = 0;
        callback done;
    };

    void write(claim_attempt claim);
    void read_back(claim_attempt claim);
    void handle_read_back(claim_attempt claim, const absl::StatusOr<kv_entry>& entry);

    kv_client& store;
    counters& metrics;
    std::string address;
    std::int64_t lease = 0;
    monotonic_time lease_reusable_until;
    std::vector<lease_callback> lease_callbacks;
};

} // namespace verbenalever
