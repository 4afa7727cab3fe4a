#include "coordinator/placement_log.h"

#include "coordination/commit_chain.h"
#include "loop/clock.h"
#include "membership/message_codec.h"

#include <fmt/format.h>

#include <charconv>

namespace verbenalever {

namespace {

/// A batch takes no further entry once it has this many bytes, well below the largest value that
/// the store accepts, 1 MB. A gang that is divided by it starts in two parts.
constexpr std::size_t bytes_per_batch = 512 << 10;
/// Upper bound for the size of an entry without its texts.
constexpr std::size_t entry_overhead = 48;

} // namespace

placement_log::placement_log(commit_chain& chain, std::string prefix, std::int64_t term,
                             std::function<void(const std::vector<placement_entry>&)> on_stored)
    : chain(chain), prefix(std::move(prefix)), term(term), on_stored(std::move(on_stored))
{
}

placement_log::~placement_log()
{
    *this->alive = false;
}

std::string placement_log::batch_key(std::int64_t batch_number) const
{
    return fmt::format("{}{}-{}", this->prefix, this->term, batch_number);
}

std::int64_t placement_log::add(placement_entry entry)
{
    if (!this->batch_open) {
        this->batch_open = true;
        const auto batch_number = ++this->last_batch;
        this->chain.put(
            this->batch_key(batch_number),
            [this, alive = this->alive, batch_number]() -> std::optional<std::string> {
                if (!*alive)
                    return std::nullopt;
                this->batch_open = this->batch_open && batch_number != this->last_batch;
                auto& entries = this->batches[batch_number].entries;
                for (auto& entry : entries) {
                    entry.written_ms = boot_time().count();
                    entry.written_wall_ms = wall_microseconds() / 1000;
                }
                return pack_message(entries);
            },
            true,
            [this, alive = this->alive, batch_number] {
                if (*alive)
                    this->handle_batch_stored(batch_number);
            });
    }
    auto& current = this->batches[this->last_batch];
    current.bytes += entry_overhead + entry.workflow.size() + entry.target.size();
    current.entries.push_back(std::move(entry));
    ++current.open_runs;
    if (current.bytes >= bytes_per_batch)
        this->batch_open = false;
    return this->last_batch;
}

void placement_log::handle_batch_stored(std::int64_t batch_number)
{
    auto& current = this->batches[batch_number];
    current.stored = true;
    const auto entries = std::move(current.entries);
    current.entries.clear();
    const auto still_alive = this->alive;
    this->on_stored(entries);
    if (*still_alive)
        this->delete_if_finished(batch_number);
}

void placement_log::mark_run_ended(std::int64_t batch_number)
{
    const auto found = this->batches.find(batch_number);
    if (found == this->batches.end() || found->second.open_runs == 0)
        return;
    --found->second.open_runs;
    this->delete_if_finished(batch_number);
}

void placement_log::delete_if_finished(std::int64_t batch_number)
{
    const auto found = this->batches.find(batch_number);
    if (found == this->batches.end() || !found->second.stored || found->second.open_runs > 0)
        return;
    this->batches.erase(found);
    this->chain.put(this->batch_key(batch_number), [] { return std::nullopt; }, false, {});
}

std::int64_t placement_log::term_of(std::string_view prefix, std::string_view key)
{
    std::int64_t term = 0;
    if (!key.starts_with(prefix))
        return 0;
    const auto rest = key.substr(prefix.size());
    const auto read = std::from_chars(rest.data(), rest.data() + rest.size(), term);
    return read.ec == std::errc() ? term : 0;
}

absl::StatusOr<std::vector<placement_entry>> placement_log::decode(std::string_view value)
{
    return unpack_message<std::vector<placement_entry>>(value);
}

} // namespace verbenalever
