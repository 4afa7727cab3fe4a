#include "scheduling/gang_planner.h"

#include "scheduling/fleet_capacity.h"
#include "scheduling/gang_reservations.h"
#include "scheduling/tasks_that_fit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace {

using verbenalever::fleet_capacity;
using verbenalever::gang_assignment;
using verbenalever::gang_reservations;
using verbenalever::gang_target;
using verbenalever::milliseconds;
using verbenalever::monotonic_time;
using verbenalever::plan_gang;
using verbenalever::resources;
using verbenalever::tasks_that_fit;

constexpr monotonic_time start_time{std::chrono::hours(1)};

std::vector<gang_target> arbitrary_targets()
{
    std::vector<gang_target> targets;
    const auto count = *rc::gen::inRange(0, 12);
    for (int i = 0; i < count; ++i)
        targets.push_back({.target = "target-" + std::to_string(i),
                           .lease_holder = "entry-" + std::to_string(i % 3),
                           .free = {.slots = *rc::gen::inRange<std::int64_t>(0, 9),
                                    .memory_mb = *rc::gen::inRange<std::int64_t>(0, 9)}});
    return targets;
}

RC_GTEST_PROP(gang_planner, places_all_tasks_within_capacity_or_none, ())
{
    const auto targets = arbitrary_targets();
    const resources demand{.slots = *rc::gen::inRange<std::int64_t>(1, 4),
                           .memory_mb = *rc::gen::inRange<std::int64_t>(0, 4)};
    const auto tasks = *rc::gen::inRange<std::int64_t>(1, 30);
    std::int64_t max_tasks = 0;
    for (const auto& target : targets)
        max_tasks += tasks_that_fit(target.free, demand, tasks);
    const auto plan = plan_gang(targets, demand, tasks);
    RC_ASSERT(plan.has_value() == (max_tasks >= tasks));
    if (!plan)
        return;
    std::int64_t placed = 0;
    for (const auto& assignment : *plan) {
        const auto target = std::ranges::find(targets, assignment.target, &gang_target::target);
        RC_ASSERT(assignment.tasks >= 1);
        RC_ASSERT(assignment.tasks <= tasks_that_fit(target->free, demand, tasks));
        RC_ASSERT(assignment.lease_holder == target->lease_holder);
        placed += assignment.tasks;
    }
    RC_ASSERT(placed == tasks);
    RC_ASSERT(std::ranges::is_sorted(*plan, {}, &gang_assignment::target));
    auto reversed = targets;
    std::ranges::reverse(reversed);
    RC_ASSERT(plan_gang(reversed, demand, tasks) == plan);
}

// Gangs planned from the same state of the targets reserve target by target, interleaved at random,
// and each stops at its first refusal. Its releases arrive too late for the others: without a
// common order of targets, all gangs could refuse each other.
RC_GTEST_PROP(gang_planner, at_least_one_of_several_concurrent_gangs_reserves_its_whole_plan, ())
{
    const auto targets = arbitrary_targets();
    std::vector<std::vector<gang_assignment>> plans;
    for (int gang = 0; gang < 4; ++gang) {
        if (auto plan = plan_gang(targets, {.slots = 1}, *rc::gen::inRange<std::int64_t>(1, 30)))
            plans.push_back(*std::move(plan));
    }
    RC_PRE(!plans.empty());
    std::map<std::string, std::int64_t> free;
    for (const auto& target : targets)
        free[target.target] = target.free.slots;
    std::vector<std::size_t> reservations_made(plans.size(), 0);
    std::set<std::size_t> gangs_in_progress;
    for (std::size_t gang = 0; gang < plans.size(); ++gang)
        gangs_in_progress.insert(gang);
    int succeeded = 0;
    while (!gangs_in_progress.empty()) {
        const auto gang = *std::next(gangs_in_progress.begin(),
                                     *rc::gen::inRange<std::ptrdiff_t>(
                                         0, static_cast<std::ptrdiff_t>(gangs_in_progress.size())));
        const auto& assignment = plans[gang][reservations_made[gang]];
        if (free[assignment.target] < assignment.tasks) {
            gangs_in_progress.erase(gang);
            continue;
        }
        free[assignment.target] -= assignment.tasks;
        if (++reservations_made[gang] == plans[gang].size()) {
            ++succeeded;
            gangs_in_progress.erase(gang);
        }
    }
    RC_ASSERT(succeeded >= 1);
}

TEST(gang_planner, uses_few_targets_and_best_fit_for_the_last_tasks)
{
    const std::vector<gang_target> targets{
        {.target = "a", .lease_holder = "x", .free = {.slots = 2}},
        {.target = "b", .lease_holder = "y", .free = {.slots = 8}},
        {.target = "c", .lease_holder = "z", .free = {.slots = 6}}};
    const auto plan = plan_gang(targets, {.slots = 1}, 10);
    ASSERT_TRUE(plan);
    EXPECT_EQ(*plan,
              (std::vector<gang_assignment>{{.target = "a", .lease_holder = "x", .tasks = 2},
                                            {.target = "b", .lease_holder = "y", .tasks = 8}}));
}

TEST(gang_reservations, admit_to_reserved_capacity_only_work_that_ends_before_the_gang_starts)
{
    gang_reservations reservations;
    const auto gang_start = start_time + milliseconds(1000);
    reservations.reserve("gang", "a", {.slots = 6}, gang_start);
    const resources free{.slots = 8};
    EXPECT_TRUE(reservations.admits("a", free, {.slots = 8}, gang_start));
    EXPECT_TRUE(reservations.admits("a", free, {.slots = 2}, monotonic_time::max()));
    EXPECT_FALSE(reservations.admits("a", free, {.slots = 3}, gang_start + milliseconds(1)));
    EXPECT_TRUE(reservations.admits("b", free, {.slots = 8}, monotonic_time::max()));
    reservations.release("gang");
    EXPECT_TRUE(reservations.empty());
    EXPECT_TRUE(reservations.admits("a", free, {.slots = 8}, monotonic_time::max()));
}

TEST(fleet_capacity, rejects_work_that_can_never_run_with_the_reason)
{
    fleet_capacity fleet;
    EXPECT_TRUE(fleet.check({.slots = 100}).ok());
    fleet.assign(std::vector<resources>{{.slots = 8, .memory_mb = 64'000},
                                        {.slots = 8, .memory_mb = 64'000},
                                        {.slots = 4, .memory_mb = 128'000}});
    EXPECT_TRUE(fleet.check({.slots = 4, .memory_mb = 128'000}).ok());
    EXPECT_TRUE(fleet.check({.slots = 1}, 20).ok());
    const auto too_large_task = fleet.check({.slots = 8, .memory_mb = 128'000});
    EXPECT_EQ(too_large_task.code(), absl::StatusCode::kFailedPrecondition);
    EXPECT_NE(too_large_task.message().find("fits_nowhere"), std::string::npos);
    const auto too_large_gang = fleet.check({.slots = 1}, 21);
    EXPECT_NE(too_large_gang.message().find("at most 20"), std::string::npos);
}

} // namespace
