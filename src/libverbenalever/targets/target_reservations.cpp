#include "targets/target_reservations.h"

#include "targets/target_inventory.h"

#include <algorithm>

namespace verbenalever {

void target_reservations::reserve(std::string_view work, std::string_view team,
                                  const resources& demand)
{
    reservation entry{.team = std::string(team), .demand = demand};
    if (work.empty())
        this->unnamed.push_back(std::move(entry));
    else
        this->own.insert_or_assign(std::string(work), std::move(entry));
}

bool target_reservations::release(std::string_view work, std::string_view team,
                                  const resources& demand)
{
    if (work.empty()) {
        const auto found = std::find(this->unnamed.begin(), this->unnamed.end(),
                                     reservation{.team = std::string(team), .demand = demand});
        if (found == this->unnamed.end())
            return false;
        this->unnamed.erase(found);
        return true;
    }
    if (this->inventory_read_pending)
        this->released_during_read.emplace(work);
    if (const auto found = this->own.find(work); found != this->own.end()) {
        this->own.erase(found);
        return true;
    }
    if (const auto found = this->unconfirmed.find(work); found != this->unconfirmed.end()) {
        this->unconfirmed.erase(found);
        return true;
    }
    return false;
}

void target_reservations::mark_unconfirmed(std::string_view work, std::int64_t epoch)
{
    const auto found = this->own.find(work);
    if (found == this->own.end())
        return;
    auto node = this->own.extract(found);
    node.mapped().unconfirmed_epoch = epoch;
    this->unconfirmed.insert(std::move(node));
}

void target_reservations::begin_inventory_read()
{
    this->inventory_read_pending = true;
    this->released_during_read.clear();
}

void target_reservations::apply_inventory(const target_inventory& inventory, std::int64_t epoch)
{
    reservations_by_work in_inventory;
    for (const auto& request : inventory.requests)
        in_inventory[request.request] = {.team = request.team, .demand = {.slots = 1}};
    for (const auto& task : inventory.tasks) {
        if (task.running())
            in_inventory[task_start_id(task.task, task.attempt)] = {.team = task.team,
                                                                    .demand = task.demand};
    }
    std::erase_if(this->own, [this, &in_inventory](const auto& entry) {
        // It ran and has ended; the component that reserved it has not been notified yet.
        return this->running_in_inventory.contains(entry.first) &&
               !in_inventory.contains(entry.first);
    });
    this->running_in_inventory.clear();
    for (const auto& [work, entry] : in_inventory)
        this->running_in_inventory.insert(work);
    this->drop_unconfirmed_not_running(epoch);

    this->started_by_others.clear();
    auto unmatched_unnamed = this->unnamed;
    for (auto& [work, entry] : in_inventory) {
        if (this->own.contains(work) || this->unconfirmed.contains(work) ||
            this->released_during_read.contains(work))
            continue;
        if (const auto match = std::find(unmatched_unnamed.begin(), unmatched_unnamed.end(), entry);
            match != unmatched_unnamed.end())
            unmatched_unnamed.erase(match);
        else
            this->started_by_others.emplace(work, std::move(entry));
    }
    this->inventory_read_pending = false;
    this->released_during_read.clear();
}

void target_reservations::drop_unconfirmed_not_running(std::int64_t epoch)
{
    std::erase_if(this->unconfirmed, [this, epoch](const auto& entry) {
        return entry.second.unconfirmed_epoch != epoch &&
               !this->running_in_inventory.contains(entry.first);
    });
}

bool target_reservations::was_running(std::string_view work) const
{
    return this->running_in_inventory.contains(work);
}

bool target_reservations::may_free_capacity() const
{
    return !this->started_by_others.empty() || !this->unconfirmed.empty();
}

bool target_reservations::has_unconfirmed_starts() const
{
    return std::any_of(
        this->unconfirmed.begin(), this->unconfirmed.end(),
        [this](const auto& entry) { return !this->running_in_inventory.contains(entry.first); });
}

std::vector<const target_reservations::reservation*> target_reservations::all_reservations() const
{
    std::vector<const reservation*> all;
    for (const auto* group : {&this->own, &this->unconfirmed, &this->started_by_others}) {
        for (const auto& [work, entry] : *group)
            all.push_back(&entry);
    }
    for (const auto& entry : this->unnamed)
        all.push_back(&entry);
    return all;
}

resources target_reservations::total() const
{
    resources sum;
    for (const auto* entry : this->all_reservations())
        sum += entry->demand;
    return sum;
}

target_reservations::team_sums target_reservations::by_team() const
{
    team_sums sums;
    for (const auto* entry : this->all_reservations())
        sums[entry->team] += entry->demand;
    return sums;
}

} // namespace verbenalever
