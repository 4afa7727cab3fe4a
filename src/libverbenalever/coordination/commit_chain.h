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
#include <string_view>
#include <vector>

namespace verbenalever {

class event_loop;
class event_log;
class metadata_store;
struct store_result;

/// Commits the coordinator's writes to the store, batched into transactions that are sent one after
/// the other.
///
/// Each transaction also rewrites the fence key, on condition that its revision is that of the
/// previous transaction. So a transaction that is sent several times takes effect once,
/// transactions take effect in order, and none takes effect after another process has written the
/// fence key.
class commit_chain {
public:
    /// Makes the value of a write; called when the write is sent. @return the value to write, or
    /// nullopt to delete the key
    using producer = std::function<std::optional<std::string>()>;
    using callback = std::function<void()>;

    /// @param fence_key      key whose revision is the condition of all writes
    /// @param holder         unique name of this tenure: one term of one process
    /// @param fence_revision revision of the fence key as written by this tenure
    /// @param on_fence_lost  called once when another process has written the fence key
    /// @param link_mbps      bandwidth of this VM's link, which bounds the size of a transaction
    ///                       and its timeout; 0: not known
    commit_chain(event_loop& loop, metadata_store& store, const event_log& log,
                 std::string fence_key, std::string holder, std::int64_t fence_revision,
                 std::function<void()> on_fence_lost, double link_mbps = 0);

    /// Add a write to a coming transaction. It replaces an earlier write of the same key that has
    /// not been sent.
    /// @param urgent whether it is sent before writes that are not urgent
    /// @param done   called when the write is committed; never when the fence is lost
    /// @param lease  lease that the key is attached to; 0: none. If it has ended when the write
    ///               reaches the store, the write is dropped without a call of @p done
    void put(const std::string& key, producer value, bool urgent, callback done,
             std::int64_t lease = 0);

    /// @return estimated time until those transactions are committed that the pending writes fill
    /// completely
    [[nodiscard]] milliseconds expected_commit_delay() const;

    /// Stop sending at the end of the tenure; pending and later writes are discarded.
    void close();

    /// Remove a pending write. @return false when it was sent already or does not exist
    bool withdraw(const std::string& key);

    /// @return time since boot at which the last committed transaction was sent; at that time no
    /// other process had written the fence key
    [[nodiscard]] milliseconds confirmed_at() const
    {
        return this->last_confirmed;
    }

    /// @return whether writes are pending or in flight
    [[nodiscard]] bool busy() const
    {
        return this->in_flight != nullptr || !this->pending_writes.empty();
    }

    /// @return whether the transaction in flight has had no answer for too long
    [[nodiscard]] bool stalled() const;

    /// @return how long the transaction in flight has had no answer; 0 when there is none, or when
    /// the store rejects it
    [[nodiscard]] milliseconds time_without_answer() const;

    /// Resend a transaction that has had no answer for too long. To be called when the store has
    /// answered another call: a transaction that was sent before that call was probably lost, or
    /// its answer was, while the store was unavailable.
    /// @param answered_call_sent_at time since boot
    void resend_if_stalled(milliseconds answered_call_sent_at);

    /// @return store revision of the last committed transaction, or of the fence key as written by
    /// this tenure; it grows, and is less than that of any later tenure
    [[nodiscard]] std::int64_t revision() const
    {
        return this->fence_revision;
    }

    /// @return number of transactions composed, for metrics
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
    /// Resend the transaction in flight without the writes under leases, since one has ended.
    void drop_leased_writes();
    /// Log, once for each kind of answer, that the transaction in flight has had no useful answer
    /// for too long.
    void log_stall(std::string_view answer);

    metadata_store& store;
    const event_log& log;
    std::string fence_key;
    std::string holder;
    std::int64_t fence_revision;
    std::function<void()> on_fence_lost;
    double link_mbps;                  ///< 0: not known
    std::size_t bytes_per_transaction; ///< values are added to a transaction until they reach this
    milliseconds shortest_timeout;     ///< after which a transaction is resent

    std::map<std::string, pending_write> pending_writes;
    std::deque<std::string> urgent_order;
    std::deque<std::string> normal_order;
    std::unique_ptr<transaction> in_flight; ///< the transaction that was sent and not answered yet
    std::int64_t sequence = 0;
    std::uint64_t last_attempt = 0; ///< answers to earlier attempts are ignored
    milliseconds last_confirmed;
    milliseconds last_transaction_start{0};
    milliseconds last_commit_duration; ///< of the last transaction, from its first attempt
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
