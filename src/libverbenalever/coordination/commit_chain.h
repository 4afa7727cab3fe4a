#pragma once

#include "loop/clock.h"
#include "loop/timer.h"
#include "ports/store_transaction.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace verbenalever {

class event_loop;
class event_log;
class metadata_store;
struct store_result;

/// Writes of the coordinator, in order, several to a transaction, one transaction at a time.
///
/// Each transaction also rewrites the fence key, on condition that it is as the last one left it.
/// So a transaction takes effect once however often it is sent, none overtakes another, and none
/// takes effect after another process has taken the fence.
class commit_chain {
public:
    /// @return the value to write, or nothing to delete the key; asked when the write is sent
    using producer = std::function<std::optional<std::string>()>;
    using callback = std::function<void()>;

    /// @param fence_key      the key that guards all writes
    /// @param holder         names this tenure; not used by any other process or tenure
    /// @param fence_revision of the fence key as this tenure wrote it
    /// @param lost           called once when another process has taken the fence
    commit_chain(event_loop& loop, metadata_store& store, const event_log& log,
                 std::string fence_key, std::string holder, std::int64_t fence_revision,
                 std::function<void()> on_fence_lost);

    /// Write a key soon. Writes of one key that wait together become one.
    /// @param urgent goes before writes that are not
    /// @param done   called when it is kept; never when the fence is lost
    void put(const std::string& key, producer value, bool urgent, callback done,
             std::int64_t lease = 0);

    /// Write a key before all that waits.
    void put_first(const std::string& key, producer value, callback done);

    /// @return how long a write given now waits until it is kept, as things stand
    [[nodiscard]] milliseconds expected_commit_delay() const;

    /// Send nothing more; what is given from now on is dropped. This tenure is over.
    void close();

    /// Take back a write that has not been sent. @return false when it has, or never was given
    bool withdraw(const std::string& key);

    /// @return when the store last confirmed that this process holds the fence
    [[nodiscard]] milliseconds confirmed_at() const
    {
        return this->last_confirmed;
    }

    /// @return whether writes wait or are on their way
    [[nodiscard]] bool busy() const
    {
        return this->in_flight != nullptr || !this->pending_writes.empty();
    }

    /// @return whether the last transaction sent has had no answer for long
    [[nodiscard]] bool stalled() const;

    /// The store has just answered another call: a transaction that has been without an answer for
    /// long is sent again now, since its answer, or it, was lost while the store was away.
    void resend_if_stalled();

    /// @return transactions sent, for metrics
    [[nodiscard]] std::int64_t transactions() const
    {
        return this->sequence;
    }

private:
    struct transaction;
    struct pending_write {
        producer value;
        std::int64_t lease = 0;
        std::vector<callback> done;
    };

    void flush();
    void schedule_flush();
    void compose_transaction();
    void send_transaction();
    void handle_result(const store_result& result);
    void finish_transaction(std::int64_t revision);
    void schedule_resend(milliseconds wait);

    metadata_store& store;
    const event_log& log;
    std::string fence_key;
    std::string holder;
    std::int64_t fence_revision;
    std::function<void()> on_fence_lost;

    std::map<std::string, pending_write> pending_writes;
    std::deque<std::string> urgent_order;
    std::deque<std::string> normal_order;
    std::unique_ptr<transaction> in_flight; ///< the one that waits for its answer
    std::int64_t sequence = 0;
    std::uint64_t last_attempt =
        0; ///< of all sendings the latest; answers to earlier ones are dropped
    milliseconds last_confirmed;
    milliseconds last_transaction_start{0};
    milliseconds last_commit_duration; ///< from sending the last transaction until its answer
    milliseconds timeout;
    timer flush_timer;
    timer resend_timer;
    bool closed = false;
    std::shared_ptr<bool> alive;

public:
    ~commit_chain();
    commit_chain(const commit_chain&) = delete;
    commit_chain& operator=(const commit_chain&) = delete;
};

} // namespace verbenalever
