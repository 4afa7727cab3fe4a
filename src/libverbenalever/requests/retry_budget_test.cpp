#include "requests/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace verbenalever {
namespace {

RC_GTEST_PROP(retry_budget, retries_stay_within_the_earned_tokens_and_the_burst, ())
{
    constexpr double retries_per_attempt = 0.1;
    constexpr double burst = 5;
    retry_budget budget(retries_per_attempt, burst);
    const auto attempts = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    int first_attempts = 0;
    int retries = 0;
    for (const bool is_first : attempts) {
        if (is_first) {
            budget.record_first_attempt();
            ++first_attempts;
        }
        else if (budget.try_take()) {
            ++retries;
        }
    }
    RC_ASSERT(retries <= burst + retries_per_attempt * first_attempts);
}

TEST(retry_budget, first_attempts_add_tokens)
{
    retry_budget budget(0.5, 1);
    EXPECT_TRUE(budget.try_take());
    EXPECT_FALSE(budget.available());
    budget.record_first_attempt();
    EXPECT_FALSE(budget.try_take());
    budget.record_first_attempt();
    EXPECT_TRUE(budget.try_take());
}

} // namespace
} // namespace verbenalever
