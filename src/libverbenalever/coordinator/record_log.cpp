#include "coordinator/record_log.h"

#include "coordination/commit_chain.h"
#include "membership/message_codec.h"

#include <fmt/format.h>

#include <utility>

namespace verbenalever {

namespace {

/// Keeps a value well below the largest that the store accepts: a specification has a few thousand
/// bytes at most.
constexpr std::size_t records_per_batch = 64;

} // namespace

record_log::record_log(commit_chain& chain, std::string prefix, std::int64_t term,
                       record_source record_of)
    : chain(chain), prefix(std::move(prefix)), term(term), record_of(std::move(record_of))
{
}

record_log::~record_log()
{
    *this->alive = false;
}

void record_log::begin_batch()
{
    this->open_key = fmt::format("{}{}-{}", this->prefix, this->term, ++this->last_batch_number);
    this->chain.put(
        this->open_key,
        [this, alive = this->alive, key = this->open_key]() -> std::optional<std::string> {
            if (!*alive)
                return std::nullopt;
            return this->compose_batch(key);
        },
        true,
        [this, alive = this->alive, key = this->open_key] {
            if (*alive)
                this->handle_batch_stored(key);
        });
}

std::string record_log::compose_batch(const std::string& key)
{
    if (this->open_key == key)
        this->open_key.clear();
    std::vector<workflow_record> records;
    for (const auto& [id, callbacks] : this->batches[key].unstored) {
        this->unsent_key.erase(id);
        if (const auto* record = this->record_of(id))
            records.push_back(*record);
    }
    return pack_message(records);
}

void record_log::store(const std::string& id, callback stored)
{
    const auto unsent = this->unsent_key.find(id);
    if (unsent == this->unsent_key.end() &&
        (this->open_key.empty() ||
         this->batches[this->open_key].unstored.size() >= records_per_batch))
        this->begin_batch();
    const auto& key = unsent == this->unsent_key.end()
                          ? this->unsent_key.emplace(id, this->open_key).first->second
                          : unsent->second;
    auto& callbacks = this->batches[key].unstored[id];
    if (stored)
        callbacks.push_back(std::move(stored));
}

bool record_log::withdraw(const std::string& id)
{
    const auto unsent = this->unsent_key.find(id);
    if (unsent == this->unsent_key.end())
        return false;
    this->batches[unsent->second].unstored.erase(id);
    this->unsent_key.erase(unsent);
    return true;
}

void record_log::handle_batch_stored(const std::string& key)
{
    const auto stored = std::exchange(this->batches[key].unstored, {});
    // One more than the records, so that the key is not deleted before all are counted.
    this->batches[key].current_records = 1;
    for (const auto& [id, callbacks] : stored) {
        if (this->record_of(id) != nullptr)
            this->move_record(id, key);
    }
    this->release_record(key);
    const auto log_alive = this->alive;
    for (const auto& [id, callbacks] : stored) {
        for (const auto& done : callbacks) {
            done();
            if (!*log_alive)
                return;
        }
    }
}

void record_log::move_record(const std::string& id, const std::string& key)
{
    ++this->batches[key].current_records;
    auto& at = this->locations[id];
    const auto older_key = std::exchange(at.key, key);
    if (older_key.empty())
        return;
    at.outdated.push_back(older_key);
    this->release_record(older_key);
}

bool record_log::try_remove(const std::string& id)
{
    const auto found = this->locations.find(id);
    if (found == this->locations.end())
        return true;
    bool outdated_left = false;
    for (const auto& key : found->second.outdated) {
        if (!this->batches.contains(key))
            continue;
        outdated_left = true;
        this->rewrite_key(key);
    }
    if (outdated_left)
        return false;
    const auto key = found->second.key;
    this->locations.erase(found);
    this->release_record(key);
    return true;
}

void record_log::add_inherited_key(const std::string& key, std::span<const std::string> current,
                                   std::span<const std::string> outdated)
{
    // One more than the records, so that the key is deleted below when it has no current one.
    this->batches[key].current_records = 1;
    for (const auto& id : current)
        this->move_record(id, key);
    for (const auto& id : outdated)
        this->locations[id].outdated.push_back(key);
    this->release_record(key);
}

void record_log::release_record(const std::string& key)
{
    const auto found = this->batches.find(key);
    if (found == this->batches.end() || --found->second.current_records > 0)
        return;
    this->batches.erase(found);
    // Not urgent, so that the key is deleted after the records that replace its own are written.
    this->chain.put(key, [] { return std::nullopt; }, false, {});
}

void record_log::rewrite_key(const std::string& key)
{
    if (std::exchange(this->batches[key].rewriting, true))
        return;
    std::vector<std::string> current;
    for (const auto& [id, at] : this->locations) {
        if (at.key == key)
            current.push_back(id);
    }
    for (const auto& id : current)
        this->store(id, {});
}

absl::StatusOr<std::vector<workflow_record>> record_log::decode(std::string_view value)
{
    return unpack_message<std::vector<workflow_record>>(value);
}

} // namespace verbenalever
