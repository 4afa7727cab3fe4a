#include "coordination/commit_chain.h"

#include "ports/metadata_store.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

/// Least time between the starts of two transactions that are not full: bounds the calls to about
/// fifty a second, an eighth of the writes that the store allows all processes together. Full ones
/// follow each other at once.
constexpr milliseconds transaction_gap{20};
/// Entries of one transaction that carry writes: the fence takes a condition and a write.
constexpr std::size_t writes_per_transaction = store_transaction::max_entries - 2;
/// Bytes of values in one transaction, well under what one call may carry.
constexpr std::size_t bytes_per_transaction = 256 << 10;
/// Shortest and longest time to wait for an answer before the same transaction is sent again. The
/// store answers in milliseconds; when it is slow the time grows.
constexpr milliseconds shortest_timeout{150};
constexpr milliseconds longest_timeout{2000};
/// An answer is late when it takes this many times as long as the last one did.
constexpr int timeout_factor = 8;
/// Wait after the store has turned a transaction away.
constexpr milliseconds rejection_wait{100};
/// A transaction without an answer for this long shows that the store is away.
constexpr milliseconds stall_limit{600};

} // namespace

/// A transaction from its composing until it is known to have happened.
struct commit_chain::transaction {
    store_transaction change;
    std::string fence_value;
    std::vector<callback> done;
    milliseconds first_sent{0};
    milliseconds last_sent{0};
};

commit_chain::commit_chain(event_loop& loop, metadata_store& store, const event_log& log,
                           std::string fence_key, std::string holder, std::int64_t fence_revision,
                           std::function<void()> lost)
    : store(store), log(log), fence_key(std::move(fence_key)), holder(std::move(holder)),
      fence_revision(fence_revision), lost(std::move(lost)), confirmed(boot_time()),
      last_took(transaction_gap), timeout(shortest_timeout),
      flush_timer(loop, [this] { this->flush(); }),
      resend_timer(loop, [this] { this->transmit(); }), alive(std::make_shared<bool>(true))
{
}

commit_chain::~commit_chain()
{
    *this->alive = false;
}

void commit_chain::put(const std::string& key, producer value, bool urgent, callback done,
                       std::int64_t lease)
{
    if (this->ended)
        return;
    const auto [entry, fresh] = this->waiting.try_emplace(key);
    entry->second.value = std::move(value);
    entry->second.lease = lease;
    if (done)
        entry->second.done.push_back(std::move(done));
    if (fresh)
        (urgent ? this->urgent_order : this->order).push_back(key);
    if (!this->sent && !this->flush_timer.active())
        this->flush_soon();
}

void commit_chain::put_first(const std::string& key, producer value, callback done)
{
    if (this->ended)
        return;
    this->withdraw(key);
    auto& entry = this->waiting[key];
    entry.value = std::move(value);
    entry.done.push_back(std::move(done));
    this->urgent_order.push_front(key);
    if (!this->sent)
        this->flush_soon();
}

milliseconds commit_chain::expected_wait() const
{
    const auto transactions = this->waiting.size() / writes_per_transaction;
    return this->last_took * static_cast<std::int64_t>(transactions);
}

void commit_chain::flush_soon()
{
    const auto since = boot_time() - this->last_started;
    const bool full = this->waiting.size() >= writes_per_transaction;
    this->flush_timer.start_once(full ? milliseconds(0)
                                      : std::max(milliseconds(0), transaction_gap - since));
}

void commit_chain::close()
{
    this->ended = true;
    this->flush_timer.stop();
    this->resend_timer.stop();
}

bool commit_chain::withdraw(const std::string& key)
{
    if (this->waiting.erase(key) == 0)
        return false;
    std::erase(this->urgent_order, key);
    std::erase(this->order, key);
    return true;
}

bool commit_chain::stalled() const
{
    return this->sent && boot_time() - this->sent->first_sent > stall_limit;
}

void commit_chain::flush()
{
    if (this->sent || this->waiting.empty() || this->ended)
        return;
    this->compose();
    this->last_started = boot_time();
    this->sent->first_sent = this->last_started;
    this->transmit();
}

void commit_chain::compose()
{
    this->sent = std::make_unique<transaction>();
    ++this->sequence;
    this->sent->fence_value = fmt::format("{}/{}", this->holder, this->sequence);
    auto& change = this->sent->change;
    change.conditions.push_back({this->fence_key, this->fence_revision});
    change.writes.push_back({this->fence_key, this->sent->fence_value, 0});
    std::size_t bytes = 0;
    std::size_t entries = 0;
    while (entries < writes_per_transaction && bytes < bytes_per_transaction) {
        auto& from = this->urgent_order.empty() ? this->order : this->urgent_order;
        if (from.empty())
            break;
        const auto found = this->waiting.find(from.front());
        if (auto value = found->second.value()) {
            bytes += value->size();
            change.writes.push_back({found->first, *std::move(value), found->second.lease});
        }
        else {
            change.deletes.push_back(found->first);
        }
        for (auto& done : found->second.done)
            this->sent->done.push_back(std::move(done));
        this->waiting.erase(found);
        from.pop_front();
        ++entries;
    }
}

void commit_chain::transmit()
{
    if (!this->sent || this->ended)
        return;
    this->sent->last_sent = boot_time();
    auto change = this->sent->change;
    change.timeout = this->timeout;
    this->store.transact(std::move(change), [this, alive = this->alive,
                                             attempt = ++this->attempt](store_result result) {
        // What became of an earlier sending shows in the answer to the latest one.
        if (*alive && !this->ended && attempt == this->attempt)
            this->settle(result);
    });
}

void commit_chain::store_answers()
{
    if (!this->sent || this->ended || boot_time() - this->sent->last_sent < stall_limit)
        return;
    this->timeout = shortest_timeout;
    this->resend_timer.stop();
    this->transmit();
}

void commit_chain::settle(const store_result& result)
{
    switch (result.how) {
    case store_result::outcome::committed:
        this->commit(result.revision);
        return;
    case store_result::outcome::rejected:
        this->send_again(rejection_wait);
        return;
    case store_result::outcome::unknown:
        this->timeout = std::min(longest_timeout, this->timeout * 2);
        this->send_again(milliseconds(0));
        return;
    case store_result::outcome::conflict:
        break;
    }
    // An earlier sending of this very transaction may be what has moved the fence.
    for (const auto& item : result.current) {
        if (item.key == this->fence_key && item.value == this->sent->fence_value) {
            this->commit(item.revision);
            return;
        }
    }
    this->ended = true;
    this->log.write("coordination", "fence_lost", {{"holder", this->holder}});
    this->lost();
}

void commit_chain::commit(std::int64_t revision)
{
    const auto took = boot_time() - this->sent->last_sent;
    this->last_took = boot_time() - this->sent->first_sent;
    this->timeout = std::clamp(took * timeout_factor, shortest_timeout, longest_timeout);
    this->confirmed = this->sent->last_sent;
    this->fence_revision = revision;
    const auto done = std::move(this->sent->done);
    this->sent.reset();
    if (!this->waiting.empty() && !this->ended)
        this->flush_soon();
    const auto still_here = this->alive;
    for (const auto& callback : done) {
        if (!*still_here)
            return;
        callback();
    }
}

void commit_chain::send_again(milliseconds wait)
{
    this->resend_timer.start_once(wait);
}

} // namespace verbenalever
