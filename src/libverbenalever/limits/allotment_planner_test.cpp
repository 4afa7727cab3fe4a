#include "limits/allotment_planner.h"

#include <gtest/gtest.h>

namespace {

using verbenalever::allotment_plan_input;
using verbenalever::allotment_record;
using verbenalever::allotted_target;
using verbenalever::plan_allotments;
using verbenalever::plan_ceilings;
using verbenalever::resources;

constexpr resources limit{.slots = 6};
constexpr resources one{.slots = 1};

allotment_record record_of(std::int64_t first, std::int64_t second)
{
    allotment_record record;
    record.set("a", {.slots = first});
    record.set("b", {.slots = second});
    return record;
}

std::vector<allotted_target> held(const char* name, std::int64_t use)
{
    return {{.name = name, .epoch = 1, .use = {.slots = use}, .free = {.slots = 8 - use}}};
}

TEST(plan_allotments, raises_an_amount_below_the_even_share_while_others_request)
{
    const auto next =
        plan_allotments(record_of(3, 0), held("b", 0),
                        {.limit = limit, .demand = one, .peer_demand = one, .sharing_entries = 2});
    ASSERT_TRUE(next);
    EXPECT_GE(next->amount_of("b").slots, 1);
}

TEST(plan_allotments, raises_no_amount_above_the_even_share_while_others_request)
{
    EXPECT_FALSE(plan_allotments(record_of(3, 0), held("a", 3),
                                 {.limit = limit, .demand = one, .sharing_entries = 2}));
}

TEST(plan_allotments, releases_unused_amounts)
{
    const auto next =
        plan_allotments(record_of(4, 2), held("a", 1), {.limit = limit, .peer_demand = one});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->amount_of("a").slots, 3);
    EXPECT_EQ(next->amount_of("b").slots, 2);
}

TEST(plan_allotments, moves_an_unused_amount_from_a_full_target)
{
    auto targets = held("a", 0);
    targets[0].free = {};
    targets.push_back({.name = "b", .epoch = 1, .free = {.slots = 8}});
    const auto next = plan_allotments(record_of(6, 0), targets, {.limit = limit, .demand = one});
    ASSERT_TRUE(next);
    EXPECT_GE(next->amount_of("b").slots, 1);
    EXPECT_TRUE(next->total().fits_within(limit));
}

TEST(plan_allotments, only_covers_current_use_while_a_limit_is_new)
{
    const auto next =
        plan_allotments({}, held("a", 2), {.limit = limit, .demand = one, .cover_use_only = true});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->amount_of("a").slots, 2);
}

TEST(plan_ceilings, caps_use_at_the_even_share_while_others_request)
{
    const allotment_plan_input request{
        .limit = limit, .demand = one, .peer_demand = one, .sharing_entries = 2};
    const auto ceilings = plan_ceilings(record_of(6, 0), held("a", 6), request);
    ASSERT_TRUE(ceilings.contains("a"));
    EXPECT_EQ(ceilings.at("a").slots, 5);
    EXPECT_TRUE(plan_ceilings(record_of(3, 3), held("a", 3), request).empty());
}

} // namespace
