#include "scheduling/refusal_cache.h"

#include <gtest/gtest.h>

namespace {

using verbenalever::milliseconds;
using verbenalever::monotonic_time;
using verbenalever::refusal_cache;

constexpr monotonic_time begin{std::chrono::hours(1)};

TEST(refusal_cache, refuses_as_much_or_more_to_that_team_alone)
{
    refusal_cache cache;
    cache.add("red", {.slots = 2}, begin);
    EXPECT_TRUE(cache.contains("red", {.slots = 2}, begin));
    EXPECT_TRUE(cache.contains("red", {.slots = 3, .memory_mb = 1}, begin));
    EXPECT_FALSE(cache.contains("red", {.slots = 1}, begin));
    EXPECT_FALSE(cache.contains("blue", {.slots = 2}, begin));
}

TEST(refusal_cache, asks_anew_after_a_while_or_once_something_was_given_back)
{
    refusal_cache cache;
    cache.add("red", {.slots = 1}, begin);
    EXPECT_FALSE(cache.contains("red", {.slots = 1}, begin + milliseconds(1000)));
    cache.add("red", {.slots = 1}, begin);
    cache.remove_team("red");
    EXPECT_FALSE(cache.contains("red", {.slots = 1}, begin));
}

} // namespace
