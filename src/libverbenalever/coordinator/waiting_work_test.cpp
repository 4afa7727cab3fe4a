#include "coordinator/waiting_work.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

// Work that is less urgent than a submission must not count as ahead of it, nor must work of
// another team or for another pool.
TEST(waiting_work, counts_work_of_the_same_or_a_more_urgent_priority)
{
    waiting_work work;
    work.replace("a", "p", 0, {}, {.workflows = 1, .processor_time = 10});
    work.replace("a", "p", 2, {}, {.workflows = 1, .processor_time = 100});
    work.replace("b", "p", 0, {}, {.workflows = 1, .processor_time = 1000});
    work.replace("a", "q", 0, {}, {.workflows = 1, .processor_time = 10'000});
    EXPECT_EQ(work.ahead_in_team("a", 0).processor_time, 10'010);
    EXPECT_EQ(work.ahead_in_team("a", 2).processor_time, 10'110);
    EXPECT_EQ(work.ahead_in_pool("p", 1).processor_time, 1010);
    EXPECT_EQ(work.ahead(2).workflows, 4);
    EXPECT_EQ(work.ahead_in_team("c", 2), waiting_work::amount{});
}

// An amount that is not taken back exactly would make the sums drift.
TEST(waiting_work, replaces_the_amount_that_was_counted)
{
    waiting_work work;
    const waiting_work::amount first{1, 2000, 500, 1, 30};
    const waiting_work::amount second{1, 1000, 250, 0, 0};
    work.replace("a", "p", 0, {}, first);
    work.replace("a", "p", 0, first, second);
    EXPECT_EQ(work.ahead_in_team("a", 0), second);
    work.replace("a", "p", 0, second, {});
    EXPECT_EQ(work.ahead(0), waiting_work::amount{});
}

} // namespace
} // namespace verbenalever
