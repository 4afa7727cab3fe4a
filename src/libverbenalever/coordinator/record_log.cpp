#include "coordinator/record_log.h"

#include "coordination/commit_chain.h"
#include "membership/message_codec.h"

#include <fmt/format.h>

#include <utility>

namespace verbenalever {

namespace {

constexpr std::size_t records_per_batch = 64;
/// A batch takes no further record once it has this many bytes: with a last record of the largest
/// size its value stays well below the largest that the store accepts, 1 MB.
constexpr std::size_t bytes_per_batch = 256 << 10;

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
    this->open_batch = std::make_shared<batch>();
    this->open_batch->key =
        fmt::format("{}{}-{}", this->prefix, this->term, ++this->last_batch_number);
    this->chain.put(
        this->open_batch->key,
        [this, alive = this->alive, from = this->open_batch]() -> std::optional<std::string> {
            if (!*alive)
                return std::nullopt;
            return this->compose(*from);
        },
        true,
        [this, alive = this->alive, written = this->open_batch] {
            if (*alive)
                this->handle_stored(written);
        });
}

std::string record_log::compose(batch& from)
{
    if (this->open_batch.get() == &from)
        this->open_batch.reset();
    std::vector<workflow_record> records;
    for (const auto& [id, callbacks] : from.unstored) {
        this->unsent.erase(id);
        if (const auto* record = this->record_of(id)) {
            records.push_back(*record);
            ++this->unconfirmed[id];
        }
    }
    return pack_message(records);
}

void record_log::store(const std::string& id, callback stored)
{
    auto& to = this->unsent[id];
    if (!to) {
        if (!this->open_batch || this->open_batch->unstored.size() >= records_per_batch ||
            this->open_batch->bytes >= bytes_per_batch)
            this->begin_batch();
        to = this->open_batch;
        if (const auto* record = this->record_of(id))
            to->bytes += pack_message(*record).size();
    }
    auto& callbacks = to->unstored[id];
    if (stored)
        callbacks.push_back(std::move(stored));
}

bool record_log::withdraw(const std::string& id)
{
    const auto found = this->unsent.find(id);
    if (found == this->unsent.end() || this->unconfirmed.contains(id) ||
        this->locations.contains(id))
        return false;
    found->second->unstored.erase(id);
    this->unsent.erase(found);
    return true;
}

void record_log::handle_stored(const std::shared_ptr<batch>& written)
{
    const auto stored = std::exchange(written->unstored, {});
    // One more than the records, so that the key is not deleted before all are counted.
    written->current_records = 1;
    for (const auto& [id, callbacks] : stored) {
        if (const auto sent = this->unconfirmed.find(id);
            sent != this->unconfirmed.end() && --sent->second == 0)
            this->unconfirmed.erase(sent);
        if (this->record_of(id) != nullptr)
            this->move_record(id, written);
    }
    this->release_record(*written);
    const auto log_alive = this->alive;
    for (const auto& [id, callbacks] : stored) {
        for (const auto& done : callbacks) {
            done();
            if (!*log_alive)
                return;
        }
    }
}

void record_log::move_record(const std::string& id, const std::shared_ptr<batch>& newest)
{
    ++newest->current_records;
    auto& at = this->locations[id];
    const auto older = std::exchange(at.newest, newest);
    if (!older)
        return;
    at.outdated.push_back(older);
    this->release_record(*older);
}

bool record_log::try_remove(const std::string& id)
{
    const auto found = this->locations.find(id);
    if (found == this->locations.end())
        return true;
    bool outdated_left = false;
    for (const auto& older : found->second.outdated) {
        const auto left = older.lock();
        if (!left || left->current_records == 0)
            continue;
        outdated_left = true;
        this->rewrite(*left);
    }
    if (outdated_left)
        return false;
    const auto newest = found->second.newest;
    this->locations.erase(found);
    this->release_record(*newest);
    return true;
}

void record_log::add_inherited_key(const std::string& key, std::span<const std::string> current,
                                   std::span<const std::string> outdated)
{
    const auto inherited = std::make_shared<batch>();
    inherited->key = key;
    // One more than the records, so that the key is deleted below when it has no current one.
    inherited->current_records = 1;
    for (const auto& id : current)
        this->move_record(id, inherited);
    for (const auto& id : outdated)
        this->locations[id].outdated.push_back(inherited);
    this->release_record(*inherited);
}

void record_log::release_record(batch& from)
{
    // Not urgent, so that the key is deleted after the records that replace its own are written.
    if (--from.current_records == 0)
        this->chain.put(from.key, [] { return std::nullopt; }, false, {});
}

void record_log::rewrite(batch& from)
{
    if (std::exchange(from.rewriting, true))
        return;
    std::vector<std::string> current;
    for (const auto& [id, at] : this->locations) {
        if (at.newest.get() == &from)
            current.push_back(id);
    }
    for (const auto& id : current)
        this->store(id, {});
}

absl::StatusOr<std::vector<workflow_record>> record_log::decode(std::string_view value)
{
    auto records = unpack_message<std::vector<workflow_record>>(value);
    if (records.ok())
        return records;
    // Builds without batches stored each record under a key of its own.
    auto record = unpack_message<workflow_record>(value);
    if (!record.ok())
        return records.status();
    return std::vector<workflow_record>{*std::move(record)};
}

} // namespace verbenalever
