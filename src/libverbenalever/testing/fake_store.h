#pragma once

#include "loop/event_loop.h"
#include "loop/timer.h"
#include "ports/metadata_store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace verbenalever {

/// Metadata store in memory that can be unavailable, lose responses, delay transactions and expire
/// leases. For tests.
class fake_store final : public metadata_store {
public:
    explicit fake_store(event_loop& loop);

    void transact(store_transaction change, std::function<void(store_result)> done) override;
    void read(const std::string& key,
              std::function<void(absl::StatusOr<std::optional<store_item>>)> done) override;
    void list(const std::string& prefix, const std::string& after,
              std::function<void(absl::StatusOr<store_page>)> done) override;
    void watch(const std::string& prefix, std::int64_t revision, milliseconds wait,
               std::function<void(absl::StatusOr<store_changes>)> done) override;
    void grant_lease(milliseconds ttl,
                     std::function<void(absl::StatusOr<std::int64_t>)> done) override;
    void renew_lease(std::int64_t lease, std::function<void(absl::Status)> done) override;
    void revoke_lease(std::int64_t lease, std::function<void(absl::Status)> done) override;

    /// Expire a lease now and delete its keys, whatever is left of its TTL.
    void expire(std::int64_t lease);

    /// Reads and lease calls fail as UNAVAILABLE; transactions do not run and end as unknown at
    /// their timeout. Watches go on, and leases can still be revoked.
    bool down = false;

    /// Reads of this key fail as UNAVAILABLE.
    std::string unreadable_key;

    /// Whether an ended lease of a write is noticed before a condition that fails.
    bool lease_check_first = false;

    /// Watches are not answered.
    bool watches_silent = false;

    /// Time until a transaction is answered.
    milliseconds commit_delay{1};

    /// This many of the next transactions run, but end as unknown.
    int responses_to_lose = 0;

    /// This many of the next transactions end as unknown at their timeout and run only when
    /// apply_delayed_transactions() is called.
    int transactions_to_delay = 0;
    void apply_delayed_transactions();

    std::map<std::string, store_item> items;
    std::map<std::string, std::int64_t> lease_of_key; ///< 0: the key has no lease
    std::int64_t revision = 1;
    std::int64_t last_lease = 0;
    std::size_t largest_transaction = 0; ///< conditions, writes and deletions together
    int commit_count = 0;

private:
    store_result apply(const store_transaction& change);
    /// Run @p action from the event loop, as if a response had arrived.
    void call_later(std::function<void()> action);
    void notify_watchers(const store_item& item);

    struct lease_state {
        milliseconds ttl{0};
        std::unique_ptr<timer> expiry_timer;
    };

    struct watcher {
        std::string prefix;
        std::int64_t after = 0;
        std::function<void(absl::StatusOr<store_changes>)> done;
    };

    event_loop& loop;
    std::map<std::int64_t, lease_state> leases;
    std::vector<store_item> history;
    std::vector<watcher> watchers;
    std::vector<store_transaction> delayed_transactions;
    std::deque<std::function<void()>> pending_callbacks;
    timer callback_timer;
    std::vector<std::unique_ptr<timer>> timers; ///< started or stopped, alive as long as the store
};

} // namespace verbenalever
