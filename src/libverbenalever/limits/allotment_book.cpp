#include "limits/allotment_book.h"

#include "limits/limited_amounts.h"

namespace verbenalever {

void allotment_book::observe(allotment_record record, std::int64_t revision)
{
    if (revision <= this->kept_revision)
        return;
    this->kept = std::move(record);
    this->kept_total = this->kept.total();
    this->kept_revision = revision;
    std::erase_if(this->lowered,
                  [revision](const auto& entry) { return entry.second.base < revision; });
}

const allotment_record& allotment_book::record() const
{
    return this->kept;
}

std::int64_t allotment_book::revision() const
{
    return this->kept_revision;
}

const resources& allotment_book::total() const
{
    return this->kept_total;
}

bool allotment_book::fenced(std::string_view target, std::int64_t epoch) const
{
    const auto fence = this->fences.find(target);
    return fence != this->fences.end() && fence->second == epoch;
}

resources allotment_book::usable(const allotted_target& target, const resources& limit)
{
    auto amount = scale_down(this->kept.amount_of(target.name), this->kept_total, limit);
    if (const auto found = this->lowered.find(target.name); found != this->lowered.end())
        amount = least_of(amount, found->second.amount);
    if (const auto found = this->ceilings.find(target.name); found != this->ceilings.end())
        amount = least_of(amount, found->second);
    if (!this->fenced(target.name, target.epoch)) {
        auto& first = this->found[target.name];
        if (first.epoch != target.epoch)
            first = {.epoch = target.epoch, .use = target.use};
        amount = least_of(amount, first.use);
    }
    return open_unlimited(amount, limit);
}

void allotment_book::write_started(const allotment_record& next,
                                   std::span<const allotted_target> held)
{
    this->write_in_flight = true;
    this->sent = next;
    this->sent_epochs.clear();
    for (const auto& target : held) {
        this->sent_epochs[target.name] = target.epoch;
        const auto before = this->kept.amount_of(target.name);
        const auto after = next.amount_of(target.name);
        if (before.fits_within(after))
            continue;
        // An earlier write from the same revision may still take effect in place of this one.
        const auto [entry, added] = this->lowered.try_emplace(
            target.name, lowered_amount{.amount = after, .base = this->kept_revision});
        if (!added)
            entry->second.amount = least_of(entry->second.amount, after);
    }
}

void allotment_book::write_kept(std::int64_t revision)
{
    this->write_in_flight = false;
    this->observe(std::move(this->sent), revision);
    for (const auto& [target, epoch] : this->sent_epochs)
        this->fences[target] = epoch;
}

bool allotment_book::is_sent(const allotment_record& record) const
{
    return record.writer == this->sent.writer && record.sequence == this->sent.sequence;
}

void allotment_book::write_failed()
{
    this->write_in_flight = false;
}

void allotment_book::set_ceilings(std::map<std::string, resources, std::less<>> ceilings)
{
    this->ceilings = std::move(ceilings);
}

bool allotment_book::writing() const
{
    return this->write_in_flight;
}

} // namespace verbenalever
