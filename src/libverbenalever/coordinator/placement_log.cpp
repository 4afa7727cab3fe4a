#include "coordinator/placement_log.h"

#include "coordination/commit_chain.h"
#include "membership/message_codec.h"

#include <fmt/format.h>

namespace verbenalever {

placement_log::placement_log(commit_chain& chain, std::string prefix, std::int64_t term,
                             std::function<void(const std::vector<placement_entry>&)> kept)
    : chain(chain), prefix(std::move(prefix)), term(term), kept(std::move(kept))
{
}

placement_log::~placement_log()
{
    *this->alive = false;
}

std::string placement_log::key(std::int64_t number) const
{
    return fmt::format("{}{}-{}", this->prefix, this->term, number);
}

std::int64_t placement_log::add(placement_entry entry)
{
    if (!this->collecting) {
        this->collecting = true;
        const auto number = ++this->last;
        this->chain.put(
            this->key(number),
            [this, alive = this->alive, number]() -> std::optional<std::string> {
                if (!*alive)
                    return std::nullopt;
                this->collecting = false;
                return pack_message(this->batches[number].entries);
            },
            true,
            [this, alive = this->alive, number] {
                if (*alive)
                    this->keep(number);
            });
    }
    auto& current = this->batches[this->last];
    current.entries.push_back(std::move(entry));
    ++current.open;
    return this->last;
}

void placement_log::keep(std::int64_t number)
{
    auto& current = this->batches[number];
    current.kept = true;
    const auto entries = std::move(current.entries);
    current.entries.clear();
    const auto still_here = this->alive;
    this->kept(entries);
    if (*still_here)
        this->drop_if_over(number);
}

void placement_log::ended(std::int64_t number)
{
    const auto found = this->batches.find(number);
    if (found == this->batches.end() || found->second.open == 0)
        return;
    --found->second.open;
    this->drop_if_over(number);
}

void placement_log::drop_if_over(std::int64_t number)
{
    const auto found = this->batches.find(number);
    if (found == this->batches.end() || !found->second.kept || found->second.open > 0)
        return;
    this->batches.erase(found);
    this->chain.put(this->key(number), [] { return std::nullopt; }, false, {});
}

absl::StatusOr<std::vector<placement_entry>> placement_log::read(std::string_view value)
{
    return unpack_message<std::vector<placement_entry>>(value);
}

} // namespace verbenalever
