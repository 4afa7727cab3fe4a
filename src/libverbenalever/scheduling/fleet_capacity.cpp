#include "scheduling/fleet_capacity.h"

#include "scheduling/tasks_that_fit.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

std::string describe(const resources& amounts)
{
    return fmt::format("{} slots, {} processors, {} MB, {} accelerators", amounts.slots,
                       static_cast<double>(amounts.processors_milli) / 1000, amounts.memory_mb,
                       amounts.accelerators);
}

} // namespace

void fleet_capacity::assign(std::span<const resources> targets)
{
    this->kinds.clear();
    for (const auto& capacity : targets) {
        const auto existing =
            std::ranges::find_if(this->kinds, [&capacity](const target_kind& kind) {
                return kind.capacity == capacity;
            });
        if (existing == this->kinds.end())
            this->kinds.push_back({.capacity = capacity, .target_count = 1});
        else
            ++existing->target_count;
    }
}

bool fleet_capacity::empty() const
{
    return this->kinds.empty();
}

absl::Status fleet_capacity::check(const resources& demand, std::int64_t tasks) const
{
    if (this->kinds.empty())
        return absl::OkStatus();
    std::int64_t max_tasks = 0;
    for (const auto& kind : this->kinds)
        max_tasks += kind.target_count * tasks_that_fit(kind.capacity, demand, tasks);
    if (max_tasks >= tasks)
        return absl::OkStatus();
    if (max_tasks == 0)
        return absl::FailedPreconditionError(fmt::format(
            "fits_nowhere: a task demands {}; no target has all of that, the largest amount of "
            "each resource on any target is: {}",
            describe(demand), describe(this->largest_amounts())));
    return absl::FailedPreconditionError(
        fmt::format("fits_nowhere: {} tasks of {} have to run together; the fleet holds at most {}",
                    tasks, describe(demand), max_tasks));
}

resources fleet_capacity::largest_amounts() const
{
    resources largest;
    for (const auto& kind : this->kinds) {
        largest.slots = std::max(largest.slots, kind.capacity.slots);
        largest.processors_milli =
            std::max(largest.processors_milli, kind.capacity.processors_milli);
        largest.memory_mb = std::max(largest.memory_mb, kind.capacity.memory_mb);
        largest.accelerators = std::max(largest.accelerators, kind.capacity.accelerators);
    }
    return largest;
}

} // namespace verbenalever
