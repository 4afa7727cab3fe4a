#include "coordinator/progress_log.h"

#include "coordination/commit_chain.h"
#include "membership/message_codec.h"

#include <fmt/format.h>

#include <utility>

namespace verbenalever {

namespace {

/// A key is compacted when less than one in this many of its entries is needed: a successor reads
/// at most this many times the needed entries.
constexpr std::size_t compaction_factor = 4;
/// A key takes no further entry once it has this many bytes, well below the largest value that the
/// store accepts, 1 MB.
constexpr std::size_t bytes_per_key = 512 << 10;
/// Upper bound for the size of an entry without its texts.
constexpr std::size_t entry_overhead = 40;

} // namespace

progress_log::progress_log(commit_chain& chain, std::string prefix, std::int64_t term)
    : chain(chain), prefix(std::move(prefix)), term(term)
{
}

progress_log::~progress_log()
{
    *this->alive = false;
}

std::string progress_log::begin_batch()
{
    const auto key = fmt::format("{}{}-{}", this->prefix, this->term, ++this->last_batch_number);
    this->chain.put(
        key,
        [this, alive = this->alive, key]() -> std::optional<std::string> {
            if (!*alive)
                return std::nullopt;
            if (this->unsent_key == key)
                this->unsent_key.clear();
            return this->serialize(this->batches[key]);
        },
        true,
        [this, alive = this->alive, key] {
            if (*alive)
                this->mark_stored(key);
        });
    return key;
}

std::string progress_log::serialize(const batch& from) const
{
    std::vector<progress_entry> all;
    for (const auto& [workflow, entries] : from.entries)
        all.insert(all.end(), entries.begin(), entries.end());
    return pack_message(all);
}

void progress_log::add_to_batch(batch& to, const std::string& key, progress_entry entry)
{
    ++to.written;
    ++to.needed;
    to.bytes += entry_overhead + entry.workflow.size() + entry.checkpoint.size();
    auto& entries = to.entries[entry.workflow];
    if (entries.empty())
        this->keys_by_workflow[entry.workflow].push_back(key);
    entries.push_back(std::move(entry));
}

void progress_log::add(progress_entry entry, callback stored)
{
    if (this->unsent_key.empty() || this->batches[this->unsent_key].bytes >= bytes_per_key)
        this->unsent_key = this->begin_batch();
    this->add_to_batch(this->batches[this->unsent_key], this->unsent_key, std::move(entry));
    if (stored)
        this->stored_callbacks[this->unsent_key].push_back(std::move(stored));
}

void progress_log::add_inherited_key(const std::string& key,
                                     const std::vector<progress_entry>& entries)
{
    auto& batch_of_key = this->batches[key];
    batch_of_key.stored = true;
    for (const auto& entry : entries)
        this->add_to_batch(batch_of_key, key, entry);
    this->compact_key(key);
}

void progress_log::mark_stored(const std::string& key)
{
    this->batches[key].stored = true;
    const auto callbacks = std::exchange(this->stored_callbacks[key], {});
    this->stored_callbacks.erase(key);
    const auto log_alive = this->alive;
    for (const auto& action : callbacks) {
        action();
        if (!*log_alive)
            return;
    }
    this->compact_key(key);
}

void progress_log::remove_workflow(const std::string& workflow)
{
    const auto found = this->keys_by_workflow.find(workflow);
    if (found == this->keys_by_workflow.end())
        return;
    const auto keys = std::move(found->second);
    this->keys_by_workflow.erase(found);
    for (const auto& key : keys) {
        auto& batch_of_key = this->batches[key];
        batch_of_key.needed -= batch_of_key.entries[workflow].size();
        batch_of_key.entries.erase(workflow);
        this->compact_key(key);
    }
}

void progress_log::compact_key(const std::string& key)
{
    const auto found = this->batches.find(key);
    if (found == this->batches.end() || !found->second.stored ||
        found->second.needed * compaction_factor > found->second.written)
        return;
    const auto left = std::move(found->second.entries);
    this->batches.erase(found);
    for (const auto& [workflow, entries] : left) {
        std::erase(this->keys_by_workflow[workflow], key);
        for (const auto& entry : entries)
            this->add(entry, {});
    }
    // Not urgent, so that the key is removed after or with the write of the entries moved from it.
    this->chain.put(key, [] { return std::nullopt; }, false, {});
}

absl::StatusOr<std::vector<progress_entry>> progress_log::parse(std::string_view value)
{
    return unpack_message<std::vector<progress_entry>>(value);
}

} // namespace verbenalever
