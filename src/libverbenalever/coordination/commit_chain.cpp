#include "coordination/commit_chain.h"

#include "ports/metadata_store.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace verbenalever {

namespace {

/// Minimum time between the starts of two transactions, unless the next one is full. It limits the
/// calls to about fifty a second, an eighth of the writes that the store allows all processes
/// together.
constexpr milliseconds transaction_gap{20};
/// Writes per transaction: the fence key takes two more entries, a condition and a write.
constexpr std::size_t writes_per_transaction = store_transaction::max_entries - 2;
/// Bytes of values in one transaction, well under the limit of one call.
constexpr std::size_t max_transaction_bytes = 256 << 10;
/// A narrow link carries at least this much at once, so that no value waits for ever.
constexpr std::size_t min_transaction_bytes = 16 << 10;
/// Part of a second for which one transaction may occupy the link.
constexpr double link_time_s = 0.05;
/// Values are sent as base64 text in JSON.
constexpr double encoding_overhead = 1.4;
constexpr double bytes_per_megabit = 125'000;
/// Bounds of the timeout after which the same transaction is resent. The store usually answers
/// within milliseconds; the timeout grows when it is slow.
constexpr milliseconds min_timeout{150};
constexpr milliseconds longest_timeout{2000};
/// The timeout is this multiple of the duration of the last successful attempt.
constexpr int timeout_factor = 8;
/// Wait before a transaction that the store has rejected is resent.
constexpr milliseconds rejection_wait{100};
constexpr std::string_view rejected_answer = "rejected";
/// Time without an answer after which the store counts as unavailable.
constexpr milliseconds stall_limit{600};

std::size_t transaction_bytes(double link_mbps)
{
    if (link_mbps <= 0)
        return max_transaction_bytes;
    const auto bytes = link_mbps * bytes_per_megabit * link_time_s / encoding_overhead;
    return std::clamp(static_cast<std::size_t>(bytes), min_transaction_bytes,
                      max_transaction_bytes);
}

/// @return how long the link takes to carry values of so many bytes; 0: its bandwidth is not known
milliseconds sending_time(std::size_t bytes, double link_mbps)
{
    if (link_mbps <= 0)
        return milliseconds(0);
    const auto seconds =
        static_cast<double>(bytes) * encoding_overhead / (link_mbps * bytes_per_megabit);
    return milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

} // namespace

/// The transaction in flight, kept until it is known to be committed.
struct commit_chain::transaction {
    store_transaction change;
    std::string fence_value;
    std::vector<callback> done;
    std::vector<callback> leased_done; ///< the same for writes with a lease
    milliseconds sending_time{0};      ///< that the link needs for it; 0: not known
    std::string_view last_answer;      ///< other than a result, for the log
    milliseconds first_sent{0};
    milliseconds last_sent{0};
};

commit_chain::commit_chain(event_loop& loop, metadata_store& store, const event_log& log,
                           std::string fence_key, std::string holder, std::int64_t fence_revision,
                           std::function<void()> on_fence_lost, double link_mbps)
    : store(store), log(log), fence_key(std::move(fence_key)), holder(std::move(holder)),
      fence_revision(fence_revision), on_fence_lost(std::move(on_fence_lost)), link_mbps(link_mbps),
      bytes_per_transaction(transaction_bytes(link_mbps)),
      shortest_timeout(min_timeout + sending_time(this->bytes_per_transaction, link_mbps)),
      last_confirmed(boot_time()), last_commit_duration(transaction_gap),
      timeout(this->shortest_timeout), flush_timer(loop, [this] { this->flush(); }),
      resend_timer(loop, [this] { this->send_transaction(); }), alive(std::make_shared<bool>(true))
{
}

commit_chain::~commit_chain()
{
    *this->alive = false;
}

void commit_chain::put(const std::string& key, producer value, bool urgent, callback done,
                       std::int64_t lease)
{
    if (this->closed)
        return;
    const auto [entry, is_new] = this->pending_writes.try_emplace(key);
    entry->second.value = std::move(value);
    entry->second.lease = lease;
    if (done)
        entry->second.done.push_back(std::move(done));
    if (is_new)
        (urgent ? this->urgent_order : this->normal_order).push_back(key);
    if (!this->in_flight && !this->flush_timer.active())
        this->schedule_flush();
}

milliseconds commit_chain::expected_commit_delay() const
{
    const auto transactions = this->pending_writes.size() / writes_per_transaction;
    return this->last_commit_duration * static_cast<std::int64_t>(transactions);
}

void commit_chain::schedule_flush()
{
    const auto since = boot_time() - this->last_transaction_start;
    const bool full = this->pending_writes.size() >= writes_per_transaction;
    this->flush_timer.start_once(full ? milliseconds(0)
                                      : std::max(milliseconds(0), transaction_gap - since));
}

void commit_chain::close()
{
    this->closed = true;
    this->flush_timer.stop();
    this->resend_timer.stop();
}

bool commit_chain::withdraw(const std::string& key)
{
    if (this->pending_writes.erase(key) == 0)
        return false;
    std::erase(this->urgent_order, key);
    std::erase(this->normal_order, key);
    return true;
}

bool commit_chain::stalled() const
{
    return this->in_flight && boot_time() - this->in_flight->first_sent > stall_limit;
}

milliseconds commit_chain::time_without_answer() const
{
    if (!this->in_flight || this->in_flight->last_answer == rejected_answer)
        return milliseconds(0);
    return boot_time() - this->in_flight->first_sent;
}

void commit_chain::flush()
{
    if (this->in_flight || this->pending_writes.empty() || this->closed)
        return;
    this->compose_transaction();
    this->last_transaction_start = boot_time();
    this->in_flight->first_sent = this->last_transaction_start;
    this->send_transaction();
}

void commit_chain::compose_transaction()
{
    this->in_flight = std::make_unique<transaction>();
    ++this->sequence;
    this->in_flight->fence_value = fmt::format("{}/{}", this->holder, this->sequence);
    auto& change = this->in_flight->change;
    change.conditions.push_back({this->fence_key, this->fence_revision});
    change.writes.push_back({this->fence_key, this->in_flight->fence_value, 0});
    std::size_t bytes = 0;
    std::size_t entries = 0;
    while (entries < writes_per_transaction && bytes < this->bytes_per_transaction) {
        auto& key_queue = this->urgent_order.empty() ? this->normal_order : this->urgent_order;
        if (key_queue.empty())
            break;
        const auto found = this->pending_writes.find(key_queue.front());
        if (auto value = found->second.value()) {
            bytes += value->size();
            change.writes.push_back({found->first, *std::move(value), found->second.lease});
        }
        else {
            change.deletes.push_back(found->first);
        }
        auto& callbacks =
            found->second.lease == 0 ? this->in_flight->done : this->in_flight->leased_done;
        std::ranges::move(found->second.done, std::back_inserter(callbacks));
        this->pending_writes.erase(found);
        key_queue.pop_front();
        ++entries;
    }
    // A single value may be larger than bytes_per_transaction.
    this->in_flight->sending_time = sending_time(bytes, this->link_mbps);
}

void commit_chain::send_transaction()
{
    if (!this->in_flight || this->closed)
        return;
    this->in_flight->last_sent = boot_time();
    auto change = this->in_flight->change;
    change.timeout = std::max(this->timeout, min_timeout + this->in_flight->sending_time);
    this->store.transact(std::move(change), [this, alive = this->alive,
                                             attempt = ++this->last_attempt](store_result result) {
        // The answer to the latest attempt also shows whether an earlier one took effect.
        if (*alive && !this->closed && attempt == this->last_attempt)
            this->handle_result(result);
    });
}

void commit_chain::resend_if_stalled(milliseconds answered_call_sent_at)
{
    if (this->closed || !this->stalled() || this->in_flight->last_sent >= answered_call_sent_at)
        return;
    // The answer to the other, smaller call may have overtaken it.
    if (boot_time() - this->in_flight->last_sent < this->in_flight->sending_time)
        return;
    this->timeout = this->shortest_timeout;
    this->resend_timer.stop();
    this->send_transaction();
}

void commit_chain::handle_result(const store_result& result)
{
    switch (result.how) {
    case store_result::outcome::committed:
        this->finish_transaction(result.revision);
        return;
    case store_result::outcome::lease_ended:
        this->drop_leased_writes();
        return;
    case store_result::outcome::rejected:
        this->log_stall(rejected_answer);
        this->schedule_resend(rejection_wait);
        return;
    case store_result::outcome::unknown:
        this->log_stall("unknown");
        this->timeout = std::min(longest_timeout, this->timeout * 2);
        this->schedule_resend(milliseconds(0));
        return;
    case store_result::outcome::conflict:
        break;
    }
    // The fence key may have been changed by an earlier attempt of this same transaction.
    for (const auto& item : result.current) {
        if (item.key == this->fence_key && item.value == this->in_flight->fence_value) {
            this->finish_transaction(item.revision);
            return;
        }
    }
    this->closed = true;
    this->log.write("coordination", "fence_lost", {{"holder", this->holder}});
    this->on_fence_lost();
}

void commit_chain::drop_leased_writes()
{
    auto& writes = this->in_flight->change.writes;
    const auto dropped = std::erase_if(writes, [](const auto& write) { return write.lease != 0; });
    if (dropped == 0) {
        this->log_stall("lease_ended");
        this->schedule_resend(rejection_wait);
        return;
    }
    this->log.write("coordination", "leased_writes_dropped",
                    {{"writes", dropped}, {"others", writes.size()}});
    this->in_flight->leased_done.clear();
    // The fence value stays, so that an earlier attempt that was executed is recognised.
    this->send_transaction();
}

void commit_chain::log_stall(std::string_view answer)
{
    if (!this->stalled() || std::exchange(this->in_flight->last_answer, answer) == answer)
        return;
    const auto& writes = this->in_flight->change.writes;
    const auto largest =
        std::ranges::max_element(writes, {}, [](const auto& write) { return write.value.size(); });
    this->log.write("coordination", "transaction_stalled",
                    {{"answer", answer},
                     {"since_ms", (boot_time() - this->in_flight->first_sent).count()},
                     {"writes", writes.size()},
                     {"deletes", this->in_flight->change.deletes.size()},
                     {"largest_key", largest->key},
                     {"largest_bytes", largest->value.size()}});
}

void commit_chain::finish_transaction(std::int64_t revision)
{
    const auto attempt_duration = boot_time() - this->in_flight->last_sent;
    this->last_commit_duration = boot_time() - this->in_flight->first_sent;
    this->timeout =
        std::clamp(attempt_duration * timeout_factor, this->shortest_timeout, longest_timeout);
    this->last_confirmed = this->in_flight->last_sent;
    this->fence_revision = revision;
    auto done = std::move(this->in_flight->done);
    std::ranges::move(this->in_flight->leased_done, std::back_inserter(done));
    this->in_flight.reset();
    if (!this->pending_writes.empty() && !this->closed)
        this->schedule_flush();
    const auto still_here = this->alive;
    for (const auto& callback : done) {
        if (!*still_here)
            return;
        callback();
    }
}

void commit_chain::schedule_resend(milliseconds wait)
{
    this->resend_timer.start_once(wait);
}

} // namespace verbenalever
