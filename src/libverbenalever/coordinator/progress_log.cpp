#include "coordinator/progress_log.h"

#include "coordination/commit_chain.h"
#include "membership/message_codec.h"

#include <fmt/format.h>

#include <utility>

namespace verbenalever {

namespace {

/// A key is written anew with newer ends when less than this part of it is needed: a successor
/// then reads at most so many times what counts.
constexpr std::size_t waste_factor = 4;

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
    const auto key = fmt::format("{}{}-{}", this->prefix, this->term, ++this->last);
    this->chain.put(
        key,
        [this, alive = this->alive, key]() -> std::optional<std::string> {
            if (!*alive)
                return std::nullopt;
            this->current.clear();
            return this->value_of(this->batches[key]);
        },
        true,
        [this, alive = this->alive, key] {
            if (*alive)
                this->keep(key);
        });
    return key;
}

std::string progress_log::value_of(const batch& from) const
{
    std::vector<progress_entry> all;
    for (const auto& [workflow, entries] : from.entries)
        all.insert(all.end(), entries.begin(), entries.end());
    return pack_message(all);
}

void progress_log::note(batch& to, const std::string& key, progress_entry entry)
{
    ++to.written;
    ++to.needed;
    auto& entries = to.entries[entry.workflow];
    if (entries.empty())
        this->keys_with[entry.workflow].push_back(key);
    entries.push_back(std::move(entry));
}

void progress_log::add(progress_entry entry, callback kept)
{
    if (this->current.empty())
        this->current = this->begin_batch();
    this->note(this->batches[this->current], this->current, std::move(entry));
    if (kept)
        this->waiting[this->current].push_back(std::move(kept));
}

void progress_log::inherit(const std::string& key, const std::vector<progress_entry>& entries)
{
    auto& known = this->batches[key];
    known.kept = true;
    for (const auto& entry : entries)
        this->note(known, key, entry);
    this->clean(key);
}

void progress_log::keep(const std::string& key)
{
    this->batches[key].kept = true;
    const auto told = std::exchange(this->waiting[key], {});
    this->waiting.erase(key);
    const auto still_here = this->alive;
    for (const auto& action : told) {
        action();
        if (!*still_here)
            return;
    }
    this->clean(key);
}

void progress_log::forget(const std::string& workflow)
{
    const auto found = this->keys_with.find(workflow);
    if (found == this->keys_with.end())
        return;
    const auto keys = std::move(found->second);
    this->keys_with.erase(found);
    for (const auto& key : keys) {
        auto& known = this->batches[key];
        known.needed -= known.entries[workflow].size();
        known.entries.erase(workflow);
        this->clean(key);
    }
}

void progress_log::clean(const std::string& key)
{
    const auto found = this->batches.find(key);
    if (found == this->batches.end() || !found->second.kept ||
        found->second.needed * waste_factor > found->second.written)
        return;
    const auto left = std::move(found->second.entries);
    this->batches.erase(found);
    for (const auto& [workflow, entries] : left) {
        std::erase(this->keys_with[workflow], key);
        for (const auto& entry : entries)
            this->add(entry, {});
    }
    // Not urgent, so that it is sent after the ends that were taken over, or with them.
    this->chain.put(key, [] { return std::nullopt; }, false, {});
}

absl::StatusOr<std::vector<progress_entry>> progress_log::read(std::string_view value)
{
    return unpack_message<std::vector<progress_entry>>(value);
}

} // namespace verbenalever
