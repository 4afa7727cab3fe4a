#include "scheduling/gang_planner.h"

#include "scheduling/tasks_that_fit.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// @return for each target that fits any task the number that fit; most tasks first, then by name
std::vector<gang_assignment> sorted_by_task_count(std::span<const gang_target> targets,
                                                  const resources& demand, std::int64_t tasks)
{
    std::vector<gang_assignment> assignments;
    for (const auto& target : targets) {
        if (const auto count = tasks_that_fit(target.free, demand, tasks); count > 0)
            assignments.push_back(
                {.target = target.target, .lease_holder = target.lease_holder, .tasks = count});
    }
    std::ranges::sort(assignments, [](const gang_assignment& a, const gang_assignment& b) {
        return a.tasks != b.tasks ? a.tasks > b.tasks : a.target < b.target;
    });
    return assignments;
}

} // namespace

std::optional<std::vector<gang_assignment>> plan_gang(std::span<const gang_target> targets,
                                                      const resources& demand, std::int64_t tasks)
{
    auto candidates = sorted_by_task_count(targets, demand, tasks);
    std::vector<gang_assignment> plan;
    auto remaining = tasks;
    for (auto candidate = candidates.begin(); candidate != candidates.end() && remaining > 0;
         ++candidate) {
        if (candidate->tasks >= remaining) {
            // Candidates are in descending order: the last one that fits all remaining tasks is the
            // best fit.
            while (std::next(candidate) != candidates.end() &&
                   std::next(candidate)->tasks >= remaining)
                ++candidate;
            candidate->tasks = remaining;
        }
        remaining -= candidate->tasks;
        plan.push_back(*candidate);
    }
    if (remaining > 0)
        return std::nullopt;
    std::ranges::sort(plan, {}, &gang_assignment::target);
    return plan;
}

} // namespace verbenalever
