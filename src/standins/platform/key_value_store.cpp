#include "key_value_store.h"

#include <iterator>

namespace standins {

using verbenalever::kv_entry;
using verbenalever::kv_listing;

namespace {

constexpr std::size_t max_history_entries = 20000;

} // namespace

const kv_entry* key_value_store::find(std::string_view key) const
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
}

absl::StatusOr<std::int64_t> key_value_store::put(std::string_view key, std::string value,
                                                  std::optional<std::int64_t> expected,
                                                  std::int64_t lease)
{
    const auto* current = this->find(key);
    const auto current_revision = current == nullptr ? 0 : current->revision;
    if (expected && *expected != current_revision)
        return absl::AbortedError(std::to_string(current_revision));
    ++this->revision;
    const kv_entry entry{
        .key = std::string(key), .value = std::move(value), .revision = this->revision};
    this->entries.insert_or_assign(entry.key, entry);
    if (lease != 0)
        this->lease_of_key.insert_or_assign(entry.key, lease);
    this->append_history(entry);
    return this->revision;
}

absl::StatusOr<std::int64_t> key_value_store::remove(std::string_view key,
                                                     std::optional<std::int64_t> expected)
{
    const auto* current = this->find(key);
    const auto current_revision = current == nullptr ? 0 : current->revision;
    if (expected && *expected != current_revision)
        return absl::AbortedError(std::to_string(current_revision));
    if (current == nullptr)
        return this->revision;
    ++this->revision;
    this->entries.erase(this->entries.find(key));
    this->append_history({.key = std::string(key), .revision = this->revision, .deleted = true});
    return this->revision;
}

kv_listing key_value_store::list(std::string_view prefix) const
{
    kv_listing listing{.revision = this->revision, .entries = {}};
    for (auto it = this->entries.lower_bound(prefix);
         it != this->entries.end() && it->first.starts_with(prefix); ++it)
        listing.entries.push_back(it->second);
    return listing;
}

std::optional<kv_listing> key_value_store::changes(std::string_view prefix,
                                                   std::int64_t since) const
{
    if (this->history.size() == max_history_entries && this->history.front().revision > since + 1)
        return std::nullopt;
    kv_listing listing{.revision = this->revision, .entries = {}};
    for (const auto& change : this->history) {
        if (change.revision > since && std::string_view(change.key).starts_with(prefix))
            listing.entries.push_back(change);
    }
    return listing;
}

std::int64_t key_value_store::grant_lease(verbenalever::milliseconds ttl,
                                          verbenalever::monotonic_time now)
{
    this->leases[++this->last_lease] = {.ttl = ttl, .expires = now + ttl};
    return this->last_lease;
}

bool key_value_store::renew_lease(std::int64_t lease, verbenalever::monotonic_time now)
{
    const auto found = this->leases.find(lease);
    if (found == this->leases.end())
        return false;
    found->second.expires = now + found->second.ttl;
    return true;
}

bool key_value_store::expire_leases(verbenalever::monotonic_time now)
{
    std::erase_if(this->leases, [now](const auto& lease) { return lease.second.expires <= now; });
    bool deleted = false;
    for (auto it = this->lease_of_key.begin(); it != this->lease_of_key.end();) {
        if (this->leases.contains(it->second)) {
            ++it;
            continue;
        }
        deleted = this->remove(it->first, std::nullopt).ok() || deleted;
        it = this->lease_of_key.erase(it);
    }
    return deleted;
}

void key_value_store::append_history(kv_entry change)
{
    this->history.push_back(std::move(change));
    if (this->history.size() > max_history_entries)
        this->history.pop_front();
}

} // namespace standins
