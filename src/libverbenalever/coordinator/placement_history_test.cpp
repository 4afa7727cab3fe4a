#include "coordinator/placement_history.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

// A successor must not take an order sent just before its election for one that was answered.
TEST(placement_history, orders_of_the_last_batches_may_lack_their_answers)
{
    placement_history history;
    for (const auto written_ms : {1000, 1100, 2099, 2100})
        history.add(7, written_ms);
    EXPECT_FALSE(history.may_lack_answers(7, 1000)) << "stored by 1100, 1000 ms before the end";
    EXPECT_TRUE(history.may_lack_answers(7, 1100)) << "perhaps stored only at 2099";
    EXPECT_TRUE(history.may_lack_answers(7, 2100));
}

TEST(placement_history, clocks_of_different_coordinators_are_not_compared)
{
    placement_history history;
    history.add(7, 1000);
    history.add(8, 90'000);
    history.add(8, 99'000);
    EXPECT_TRUE(history.may_lack_answers(7, 1000));
    EXPECT_TRUE(history.may_lack_answers(9, 1000)) << "a term of which no batch is left";
}

TEST(placement_history, batches_of_builds_that_store_no_time_may_lack_answers)
{
    placement_history history;
    history.add(7, 0);
    history.add(7, 5000);
    history.add(7, 9000);
    EXPECT_TRUE(history.may_lack_answers(7, 0));
}

} // namespace
} // namespace verbenalever
