#include "scheduling/refusal_memory.h"

#include <gtest/gtest.h>

namespace {

using verbenalever::milliseconds;
using verbenalever::monotonic_time;
using verbenalever::refusal_memory;

constexpr monotonic_time begin{std::chrono::hours(1)};

TEST(refusal_memory, refuses_as_much_or_more_to_that_team_alone)
{
    refusal_memory memory;
    memory.note("red", {.slots = 2}, begin);
    EXPECT_TRUE(memory.refuses("red", {.slots = 2}, begin));
    EXPECT_TRUE(memory.refuses("red", {.slots = 3, .memory_mb = 1}, begin));
    EXPECT_FALSE(memory.refuses("red", {.slots = 1}, begin));
    EXPECT_FALSE(memory.refuses("blue", {.slots = 2}, begin));
}

TEST(refusal_memory, asks_anew_after_a_while_or_once_something_was_given_back)
{
    refusal_memory memory;
    memory.note("red", {.slots = 1}, begin);
    EXPECT_FALSE(memory.refuses("red", {.slots = 1}, begin + milliseconds(1000)));
    memory.note("red", {.slots = 1}, begin);
    memory.forget("red");
    EXPECT_FALSE(memory.refuses("red", {.slots = 1}, begin));
}

} // namespace
