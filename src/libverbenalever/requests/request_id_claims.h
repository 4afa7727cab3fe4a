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

/// Claims on callers' ids of requests that are not repeatable, kept by the platform so that a
/// resend through another entry does not run again.
///
/// A claim is made by create-if-absent and names its writer, so that a lost reply is resolved by
/// reading back. Claims are bound to store leases that are never renewed and so go by themselves.
class request_id_claims {
public:
    /// How an attempt to claim ended.
    enum class result {
        claimed,           ///< this entry may run the request
        claimed_elsewhere, ///< another claim stands
        unavailable        ///< the platform gave no answer; nothing is known
    };

    /// @param holder HTTP address of the entry whose claim stands, when taken
    using callback = std::function<void(result, const std::string& holder)>;

    /// @param address this entry's HTTP address, told to callers who resend elsewhere
    request_id_claims(kv_client& store, counters& metrics, std::string address);

    /// Claim @p key for @p writer.
    /// @param writer unique to the claim. A standing claim whose writer differs only after the last
    ///               '.' is an earlier one of this process that did not run, and is taken over.
    void claim(const std::string& key, const std::string& writer, callback done);

    /// Drop a claim after the request surely did not run. Without an answer the claim stands until
    /// its lease ends.
    void release(const std::string& key, const std::string& writer);

private:
    using lease_callback = std::function<void(absl::StatusOr<std::int64_t>)>;

    void with_store_lease(lease_callback done);
    void handle_store_lease(absl::StatusOr<std::int64_t> lease, monotonic_time requested_at);
    /// One claim on its way to the store.
    struct claim_attempt {
        std::string key;
        std::string writer;
        std::int64_t lease = 0;
        std::int64_t expected = 0; ///< revision that the claim replaces
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
