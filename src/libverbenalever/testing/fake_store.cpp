#include "testing/fake_store.h"

#include <algorithm>

namespace verbenalever {

fake_store::fake_store(event_loop& loop)
    : loop(loop), callback_timer(loop, [this] {
          auto due_callbacks = std::move(this->pending_callbacks);
          this->pending_callbacks.clear();
          for (auto& action : due_callbacks)
              action();
          if (!this->pending_callbacks.empty())
              this->callback_timer.start_once(milliseconds(1));
      })
{
}

void fake_store::call_later(std::function<void()> action)
{
    this->pending_callbacks.push_back(std::move(action));
    if (!this->callback_timer.active())
        this->callback_timer.start_once(milliseconds(1));
}

store_result fake_store::apply(const store_transaction& change)
{
    this->largest_transaction =
        std::max(this->largest_transaction,
                 change.conditions.size() + change.writes.size() + change.deletes.size());
    store_result conflict{.how = store_result::outcome::conflict};
    bool conditions_hold = true;
    for (const auto& condition : change.conditions) {
        const auto found = this->items.find(condition.key);
        const auto current_revision = found == this->items.end() ? 0 : found->second.revision;
        conditions_hold = conditions_hold && current_revision == condition.revision;
        if (found != this->items.end())
            conflict.current.push_back(found->second);
    }
    const bool lease_ended = std::ranges::any_of(change.writes, [this](const auto& write) {
        return write.lease != 0 && !this->leases.contains(write.lease);
    });
    if (!conditions_hold && !(lease_ended && this->lease_check_first))
        return conflict;
    if (lease_ended)
        return {.how = store_result::outcome::lease_ended};
    ++this->revision;
    ++this->commit_count;
    for (const auto& write : change.writes) {
        this->items[write.key] = {write.key, write.value, this->revision, false};
        this->lease_of_key[write.key] = write.lease;
        this->notify_watchers(this->items[write.key]);
    }
    for (const auto& key : change.deletes) {
        if (this->items.erase(key) > 0)
            this->notify_watchers({key, {}, this->revision, true});
    }
    return {.how = store_result::outcome::committed, .revision = this->revision};
}

void fake_store::transact(store_transaction change, std::function<void(store_result)> done)
{
    if (this->down || this->transactions_to_delay > 0) {
        if (this->transactions_to_delay > 0) {
            --this->transactions_to_delay;
            this->delayed_transactions.push_back(change);
        }
        auto& timeout =
            this->timers.emplace_back(std::make_unique<timer>(this->loop, [done = std::move(done)] {
                done({.how = store_result::outcome::unknown});
            }));
        timeout->start_once(change.timeout);
        return;
    }
    const auto result = this->apply(change);
    const bool lost = this->responses_to_lose > 0;
    if (lost)
        --this->responses_to_lose;
    auto answer = [done = std::move(done), result, lost] {
        done(lost ? store_result{.how = store_result::outcome::unknown} : result);
    };
    if (this->commit_delay <= milliseconds(1)) {
        this->call_later(std::move(answer));
        return;
    }
    auto& delay = this->timers.emplace_back(std::make_unique<timer>(this->loop, std::move(answer)));
    delay->start_once(this->commit_delay);
}

void fake_store::apply_delayed_transactions()
{
    const auto changes = std::move(this->delayed_transactions);
    this->delayed_transactions.clear();
    for (const auto& change : changes)
        this->apply(change);
}

void fake_store::read(const std::string& key,
                      std::function<void(absl::StatusOr<std::optional<store_item>>)> done)
{
    std::optional<store_item> item;
    if (const auto found = this->items.find(key); found != this->items.end())
        item = found->second;
    this->call_later(
        [done = std::move(done), item, down = this->down || key == this->unreadable_key] {
            if (down)
                done(absl::UnavailableError("down"));
            else
                done(item);
        });
}

void fake_store::list(const std::string& prefix, const std::string& after,
                      std::function<void(absl::StatusOr<store_page>)> done)
{
    constexpr std::size_t page_size = 3; // small, so that tests list several pages
    store_page page{.revision = this->revision};
    for (auto it = this->items.lower_bound(prefix);
         it != this->items.end() && it->first.starts_with(prefix); ++it) {
        if (it->first <= after)
            continue;
        page.more = page.items.size() == page_size;
        if (page.more)
            break;
        page.items.push_back(it->second);
    }
    this->call_later([done = std::move(done), page, down = this->down] {
        if (down)
            done(absl::UnavailableError("down"));
        else
            done(page);
    });
}

void fake_store::watch(const std::string& prefix, std::int64_t after, milliseconds,
                       std::function<void(absl::StatusOr<store_changes>)> done)
{
    store_changes changes{.revision = this->revision};
    for (const auto& item : this->history) {
        if (item.revision > after && item.key.starts_with(prefix))
            changes.items.push_back(item);
    }
    if (!changes.items.empty())
        this->call_later([done = std::move(done), changes] { done(changes); });
    else
        this->watchers.push_back({prefix, after, std::move(done)});
}

void fake_store::notify_watchers(const store_item& item)
{
    this->history.push_back(item);
    if (this->watches_silent)
        return;
    std::vector<watcher> notified_watchers;
    std::erase_if(this->watchers, [&](auto& waiting) {
        if (!item.key.starts_with(waiting.prefix))
            return false;
        notified_watchers.push_back(std::move(waiting));
        return true;
    });
    for (auto& waiting : notified_watchers)
        this->call_later([this, waiting = std::move(waiting)]() mutable {
            this->watch(waiting.prefix, waiting.after, {}, std::move(waiting.done));
        });
}

void fake_store::grant_lease(milliseconds ttl,
                             std::function<void(absl::StatusOr<std::int64_t>)> done)
{
    const auto lease = ++this->last_lease;
    auto& granted = this->leases[lease];
    granted.ttl = ttl;
    granted.expiry_timer =
        std::make_unique<timer>(this->loop, [this, lease] { this->expire(lease); });
    granted.expiry_timer->start_once(ttl);
    this->call_later([done = std::move(done), lease, down = this->down] {
        if (down)
            done(absl::UnavailableError("down"));
        else
            done(lease);
    });
}

void fake_store::renew_lease(std::int64_t lease, std::function<void(absl::Status)> done)
{
    const auto found = this->leases.find(lease);
    const bool exists = found != this->leases.end();
    if (exists && !this->down)
        found->second.expiry_timer->start_once(found->second.ttl);
    this->call_later([done = std::move(done), exists, down = this->down] {
        if (down)
            done(absl::UnavailableError("down"));
        else
            done(exists ? absl::OkStatus() : absl::NotFoundError("ended"));
    });
}

void fake_store::revoke_lease(std::int64_t lease, std::function<void(absl::Status)> done)
{
    this->expire(lease);
    this->call_later([done = std::move(done)] { done(absl::OkStatus()); });
}

void fake_store::expire(std::int64_t lease)
{
    if (const auto ended = this->leases.find(lease); ended != this->leases.end()) {
        // The caller may be the timer's own callback, so the timer must outlive this call.
        ended->second.expiry_timer->stop();
        this->timers.push_back(std::move(ended->second.expiry_timer));
        this->leases.erase(ended);
    }
    std::vector<std::string> deleted_keys;
    for (const auto& [key, key_lease] : this->lease_of_key) {
        if (key_lease == lease && this->items.contains(key))
            deleted_keys.push_back(key);
    }
    for (const auto& key : deleted_keys) {
        ++this->revision;
        this->items.erase(key);
        this->notify_watchers({key, {}, this->revision, true});
    }
}

} // namespace verbenalever
