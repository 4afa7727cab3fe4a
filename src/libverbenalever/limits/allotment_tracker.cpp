#include "limits/allotment_tracker.h"

#include "limits/resource_arithmetic.h"

namespace verbenalever {

void allotment_tracker::apply_record(allotment_record record, std::int64_t revision)
{
    if (revision <= this->known_revision)
        return;
    this->known_record = std::move(record);
    this->known_total = this->known_record.total();
    this->known_revision = revision;
    std::erase_if(this->lowered_amounts,
                  [revision](const auto& entry) { return entry.second.base_revision < revision; });
}

const allotment_record& allotment_tracker::record() const
{
    return this->known_record;
}

std::int64_t allotment_tracker::revision() const
{
    return this->known_revision;
}

const resources& allotment_tracker::total() const
{
    return this->known_total;
}

bool allotment_tracker::fenced(std::string_view target, std::int64_t epoch) const
{
    const auto fence = this->fence_epochs.find(target);
    return fence != this->fence_epochs.end() && fence->second == epoch;
}

resources allotment_tracker::usable_amount(const allotted_target& target, const resources& limit)
{
    auto amount =
        scale_to_limit(this->known_record.amount_of(target.name), this->known_total, limit);
    if (const auto found = this->lowered_amounts.find(target.name);
        found != this->lowered_amounts.end())
        amount = componentwise_min(amount, found->second.amount);
    if (const auto found = this->ceilings.find(target.name); found != this->ceilings.end())
        amount = componentwise_min(amount, found->second);
    if (!this->fenced(target.name, target.epoch)) {
        auto& first = this->use_at_takeover[target.name];
        if (first.epoch != target.epoch)
            first = {.epoch = target.epoch, .use = target.use};
        amount = componentwise_min(amount, first.use);
    }
    return lift_unlimited(amount, limit);
}

void allotment_tracker::begin_write(const allotment_record& next,
                                    std::span<const allotted_target> held)
{
    this->write_in_flight = true;
    this->sent_record = next;
    this->sent_epochs.clear();
    for (const auto& target : held) {
        this->sent_epochs[target.name] = target.epoch;
        const auto before = this->known_record.amount_of(target.name);
        const auto after = next.amount_of(target.name);
        if (before.fits_within(after))
            continue;
        // An earlier write based on the same revision may still take effect instead of this one,
        // so the lowest amount applies.
        const auto [entry, added] = this->lowered_amounts.try_emplace(
            target.name, lowered_amount{.amount = after, .base_revision = this->known_revision});
        if (!added)
            entry->second.amount = componentwise_min(entry->second.amount, after);
    }
}

void allotment_tracker::write_committed(std::int64_t revision)
{
    this->write_in_flight = false;
    this->apply_record(std::move(this->sent_record), revision);
    for (const auto& [target, epoch] : this->sent_epochs)
        this->fence_epochs[target] = epoch;
}

bool allotment_tracker::is_last_sent(const allotment_record& record) const
{
    return record.writer == this->sent_record.writer &&
           record.sequence == this->sent_record.sequence;
}

void allotment_tracker::write_failed()
{
    this->write_in_flight = false;
}

void allotment_tracker::set_ceilings(std::map<std::string, resources, std::less<>> ceilings)
{
    this->ceilings = std::move(ceilings);
}

bool allotment_tracker::write_pending() const
{
    return this->write_in_flight;
}

} // namespace verbenalever
