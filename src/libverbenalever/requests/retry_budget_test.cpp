#include "requests/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace verbenalever {
namespace {

RC_GTEST_PROP(retry_budget, retries_stay_within_the_share_and_the_burst, ())
{
    constexpr double share = 0.1;
    constexpr double burst = 5;
    retry_budget budget(share, burst);
    const auto tries = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    int first = 0;
    int retries = 0;
    for (const bool is_first : tries) {
        if (is_first) {
            budget.first_attempt();
            ++first;
        }
        else if (budget.take()) {
            ++retries;
        }
    }
    RC_ASSERT(retries <= burst + share * first);
}

TEST(retry_budget, is_earned_back_by_first_attempts)
{
    retry_budget budget(0.5, 1);
    EXPECT_TRUE(budget.take());
    EXPECT_FALSE(budget.available());
    budget.first_attempt();
    EXPECT_FALSE(budget.take());
    budget.first_attempt();
    EXPECT_TRUE(budget.take());
}

} // namespace
} // namespace verbenalever
