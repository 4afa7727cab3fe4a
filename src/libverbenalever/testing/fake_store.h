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

/// A metadata store in memory, with the faults that a real one shows. For tests.
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

    /// End a lease now, as when its time is over.
    void expire(std::int64_t lease);

    bool down = false;         ///< answers nothing that changes anything
    int responses_to_lose = 0; ///< so many of the next transactions happen without an answer
    int transactions_to_delay =
        0; ///< so many of the next happen only when apply_delayed_transactions() is called
    void apply_delayed_transactions();

    std::map<std::string, store_item> items;
    std::map<std::string, std::int64_t> lease_of_key; ///< lease of each key that has one
    std::int64_t revision = 1;
    std::int64_t last_lease = 0;
    std::size_t largest_transaction = 0;
    int commit_count = 0;

private:
    store_result apply(const store_transaction& change);
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
    std::vector<std::unique_ptr<timer>> timers;
};

} // namespace verbenalever
