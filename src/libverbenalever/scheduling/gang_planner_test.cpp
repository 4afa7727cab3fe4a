#include "scheduling/gang_planner.h"

#include "scheduling/fleet_capacity.h"
#include "scheduling/gang_reservations.h"
#include "scheduling/task_count.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace {

using verbenalever::fleet_capacity;
using verbenalever::gang_place;
using verbenalever::gang_reservations;
using verbenalever::gang_room;
using verbenalever::milliseconds;
using verbenalever::monotonic_time;
using verbenalever::plan_gang;
using verbenalever::resources;
using verbenalever::task_count;

constexpr monotonic_time begin{std::chrono::hours(1)};

std::vector<gang_room> arbitrary_rooms()
{
    std::vector<gang_room> rooms;
    const auto count = *rc::gen::inRange(0, 12);
    for (int i = 0; i < count; ++i)
        rooms.push_back({.target = "target-" + std::to_string(i),
                         .holder = "entry-" + std::to_string(i % 3),
                         .free = {.slots = *rc::gen::inRange<std::int64_t>(0, 9),
                                  .memory_mb = *rc::gen::inRange<std::int64_t>(0, 9)}});
    return rooms;
}

RC_GTEST_PROP(gang_planner, places_all_tasks_within_capacity_or_none, ())
{
    const auto rooms = arbitrary_rooms();
    const resources demand{.slots = *rc::gen::inRange<std::int64_t>(1, 4),
                           .memory_mb = *rc::gen::inRange<std::int64_t>(0, 4)};
    const auto tasks = *rc::gen::inRange<std::int64_t>(1, 30);
    std::int64_t most = 0;
    for (const auto& room : rooms)
        most += task_count(room.free, demand, tasks);
    const auto plan = plan_gang(rooms, demand, tasks);
    RC_ASSERT(plan.has_value() == (most >= tasks));
    if (!plan)
        return;
    std::int64_t placed = 0;
    for (const auto& place : *plan) {
        const auto room = std::ranges::find(rooms, place.target, &gang_room::target);
        RC_ASSERT(place.tasks >= 1);
        RC_ASSERT(place.tasks <= task_count(room->free, demand, tasks));
        RC_ASSERT(place.holder == room->holder);
        placed += place.tasks;
    }
    RC_ASSERT(placed == tasks);
    RC_ASSERT(std::ranges::is_sorted(*plan, {}, &gang_place::target));
    auto shuffled = rooms;
    std::ranges::reverse(shuffled);
    RC_ASSERT(plan_gang(shuffled, demand, tasks) == plan);
}

// Gangs planned on the same knowledge reserve target by target, interleaved at random; each stops
// at its first refusal. What it gives back arrives too late to help the others.
RC_GTEST_PROP(gang_planner, lets_one_of_several_gangs_succeed, ())
{
    const auto rooms = arbitrary_rooms();
    std::vector<std::vector<gang_place>> plans;
    for (int gang = 0; gang < 4; ++gang) {
        if (auto plan = plan_gang(rooms, {.slots = 1}, *rc::gen::inRange<std::int64_t>(1, 30)))
            plans.push_back(*std::move(plan));
    }
    RC_PRE(!plans.empty());
    std::map<std::string, std::int64_t> free;
    for (const auto& room : rooms)
        free[room.target] = room.free.slots;
    std::vector<std::size_t> reached(plans.size(), 0);
    std::set<std::size_t> active;
    for (std::size_t gang = 0; gang < plans.size(); ++gang)
        active.insert(gang);
    int succeeded = 0;
    while (!active.empty()) {
        const auto gang = *std::next(
            active.begin(),
            *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(active.size())));
        const auto& place = plans[gang][reached[gang]];
        if (free[place.target] < place.tasks) {
            active.erase(gang);
            continue;
        }
        free[place.target] -= place.tasks;
        if (++reached[gang] == plans[gang].size()) {
            ++succeeded;
            active.erase(gang);
        }
    }
    RC_ASSERT(succeeded >= 1);
}

TEST(gang_planner, uses_few_targets_and_the_tightest_for_the_rest)
{
    const std::vector<gang_room> rooms{{.target = "a", .holder = "x", .free = {.slots = 2}},
                                       {.target = "b", .holder = "y", .free = {.slots = 8}},
                                       {.target = "c", .holder = "z", .free = {.slots = 6}}};
    const auto plan = plan_gang(rooms, {.slots = 1}, 10);
    ASSERT_TRUE(plan);
    EXPECT_EQ(*plan, (std::vector<gang_place>{{.target = "a", .holder = "x", .tasks = 2},
                                              {.target = "b", .holder = "y", .tasks = 8}}));
}

TEST(gang_reservations, let_only_work_that_ends_before_use_the_room)
{
    gang_reservations reserved;
    const auto starts = begin + milliseconds(1000);
    reserved.reserve("gang", "a", {.slots = 6}, starts);
    const resources free{.slots = 8};
    EXPECT_TRUE(reserved.admits("a", free, {.slots = 8}, starts));
    EXPECT_TRUE(reserved.admits("a", free, {.slots = 2}, monotonic_time::max()));
    EXPECT_FALSE(reserved.admits("a", free, {.slots = 3}, starts + milliseconds(1)));
    EXPECT_TRUE(reserved.admits("b", free, {.slots = 8}, monotonic_time::max()));
    reserved.release("gang");
    EXPECT_TRUE(reserved.empty());
    EXPECT_TRUE(reserved.admits("a", free, {.slots = 8}, monotonic_time::max()));
}

TEST(fleet_capacity, tells_what_can_never_run_with_the_reason)
{
    fleet_capacity fleet;
    EXPECT_TRUE(fleet.check({.slots = 100}).ok());
    fleet.assign(std::vector<resources>{{.slots = 8, .memory_mb = 64'000},
                                        {.slots = 8, .memory_mb = 64'000},
                                        {.slots = 4, .memory_mb = 128'000}});
    EXPECT_TRUE(fleet.check({.slots = 4, .memory_mb = 128'000}).ok());
    EXPECT_TRUE(fleet.check({.slots = 1}, 20).ok());
    const auto one = fleet.check({.slots = 8, .memory_mb = 128'000});
    EXPECT_EQ(one.code(), absl::StatusCode::kFailedPrecondition);
    EXPECT_NE(one.message().find("fits_nowhere"), std::string::npos);
    const auto gang = fleet.check({.slots = 1}, 21);
    EXPECT_NE(gang.message().find("at most 20"), std::string::npos);
}

} // namespace
