#include "targets/target_ledger.h"

#include "targets/target_inventory.h"

#include <algorithm>

namespace verbenalever {

void target_ledger::reserve(std::string_view work, std::string_view team, const resources& demand)
{
    reservation taken{.team = std::string(team), .demand = demand};
    if (work.empty())
        this->unnamed.push_back(std::move(taken));
    else
        this->own.insert_or_assign(std::string(work), std::move(taken));
}

bool target_ledger::release(std::string_view work, std::string_view team, const resources& demand)
{
    if (work.empty()) {
        const auto found = std::find(this->unnamed.begin(), this->unnamed.end(),
                                     reservation{.team = std::string(team), .demand = demand});
        if (found == this->unnamed.end())
            return false;
        this->unnamed.erase(found);
        return true;
    }
    if (this->reading)
        this->released_since_read.emplace(work);
    if (const auto found = this->own.find(work); found != this->own.end()) {
        this->own.erase(found);
        return true;
    }
    if (const auto found = this->doubtful.find(work); found != this->doubtful.end()) {
        this->doubtful.erase(found);
        return true;
    }
    return false;
}

void target_ledger::doubt(std::string_view work, std::int64_t epoch)
{
    const auto found = this->own.find(work);
    if (found == this->own.end())
        return;
    auto node = this->own.extract(found);
    node.mapped().doubt_epoch = epoch;
    this->doubtful.insert(std::move(node));
}

void target_ledger::begin_read()
{
    this->reading = true;
    this->released_since_read.clear();
}

void target_ledger::take(const target_inventory& inventory, std::int64_t epoch)
{
    by_work shown;
    for (const auto& request : inventory.requests)
        shown[request.request] = {.team = request.team, .demand = {.slots = 1}};
    for (const auto& task : inventory.tasks) {
        if (task.running())
            shown[work_name(task.task, task.attempt)] = {.team = task.team, .demand = task.demand};
    }
    std::erase_if(this->own, [this, &shown](const auto& entry) {
        // It ran and has ended; whoever reserved it has not heard of it yet.
        return this->running.contains(entry.first) && !shown.contains(entry.first);
    });
    this->running.clear();
    for (const auto& [work, taken] : shown)
        this->running.insert(work);
    this->settle(epoch);

    this->foreign.clear();
    auto absorbing = this->unnamed;
    for (auto& [work, taken] : shown) {
        if (this->own.contains(work) || this->doubtful.contains(work) ||
            this->released_since_read.contains(work))
            continue;
        if (const auto same = std::find(absorbing.begin(), absorbing.end(), taken);
            same != absorbing.end())
            absorbing.erase(same);
        else
            this->foreign.emplace(work, std::move(taken));
    }
    this->reading = false;
    this->released_since_read.clear();
}

void target_ledger::settle(std::int64_t epoch)
{
    std::erase_if(this->doubtful, [this, epoch](const auto& entry) {
        return entry.second.doubt_epoch != epoch && !this->running.contains(entry.first);
    });
}

bool target_ledger::seen_running(std::string_view work) const
{
    return this->running.contains(work);
}

bool target_ledger::unsettled() const
{
    return !this->foreign.empty() || !this->doubtful.empty();
}

bool target_ledger::in_doubt() const
{
    return std::any_of(this->doubtful.begin(), this->doubtful.end(),
                       [this](const auto& entry) { return !this->running.contains(entry.first); });
}

std::vector<const target_ledger::reservation*> target_ledger::all() const
{
    std::vector<const reservation*> list;
    for (const auto* kind : {&this->own, &this->doubtful, &this->foreign}) {
        for (const auto& [work, taken] : *kind)
            list.push_back(&taken);
    }
    for (const auto& taken : this->unnamed)
        list.push_back(&taken);
    return list;
}

resources target_ledger::total() const
{
    resources sum;
    for (const auto* taken : this->all())
        sum += taken->demand;
    return sum;
}

target_ledger::team_sums target_ledger::by_team() const
{
    team_sums sums;
    for (const auto* taken : this->all())
        sums[taken->team] += taken->demand;
    return sums;
}

} // namespace verbenalever
