#include "scheduling/fleet_capacity.h"

#include "scheduling/task_count.h"

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
        const auto known = std::ranges::find_if(
            this->kinds, [&capacity](const kind& other) { return other.capacity == capacity; });
        if (known == this->kinds.end())
            this->kinds.push_back({.capacity = capacity, .targets = 1});
        else
            ++known->targets;
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
    std::int64_t most = 0;
    for (const auto& kind : this->kinds)
        most += kind.targets * task_count(kind.capacity, demand, tasks);
    if (most >= tasks)
        return absl::OkStatus();
    if (most == 0)
        return absl::FailedPreconditionError(
            fmt::format("fits_nowhere: a task takes {}; no target has that, at most {}",
                        describe(demand), describe(this->largest())));
    return absl::FailedPreconditionError(
        fmt::format("fits_nowhere: {} tasks of {} have to run together; the fleet holds at most {}",
                    tasks, describe(demand), most));
}

resources fleet_capacity::largest() const
{
    resources most;
    for (const auto& kind : this->kinds) {
        most.slots = std::max(most.slots, kind.capacity.slots);
        most.processors_milli = std::max(most.processors_milli, kind.capacity.processors_milli);
        most.memory_mb = std::max(most.memory_mb, kind.capacity.memory_mb);
        most.accelerators = std::max(most.accelerators, kind.capacity.accelerators);
    }
    return most;
}

} // namespace verbenalever
