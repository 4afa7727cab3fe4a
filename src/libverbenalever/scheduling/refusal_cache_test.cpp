#include "scheduling/refusal_cache.h"

#include <gtest/gtest.h>

namespace {

using verbenalever::milliseconds;
using verbenalever::monotonic_time;
using verbenalever::refusal_cache;

constexpr monotonic_time start_time{std::chrono::hours(1)};

TEST(refusal_cache, contains_equal_or_larger_demands_of_that_team_only)
{
    refusal_cache cache;
    cache.add("red", {.slots = 2}, start_time);
    EXPECT_TRUE(cache.contains("red", {.slots = 2}, start_time));
    EXPECT_TRUE(cache.contains("red", {.slots = 3, .memory_mb = 1}, start_time));
    EXPECT_FALSE(cache.contains("red", {.slots = 1}, start_time));
    EXPECT_FALSE(cache.contains("blue", {.slots = 2}, start_time));
}

TEST(refusal_cache, entries_end_after_their_lifetime_or_with_remove_team)
{
    refusal_cache cache;
    cache.add("red", {.slots = 1}, start_time);
    EXPECT_FALSE(cache.contains("red", {.slots = 1}, start_time + milliseconds(1000)));
    cache.add("red", {.slots = 1}, start_time);
    cache.remove_team("red");
    EXPECT_FALSE(cache.contains("red", {.slots = 1}, start_time));
}

} // namespace
