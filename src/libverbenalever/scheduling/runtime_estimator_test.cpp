#include "scheduling/runtime_estimator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace {

using verbenalever::milliseconds;
using verbenalever::runtime_estimator;

RC_GTEST_PROP(runtime_estimator, bounds_the_quantile_from_above_within_half_as_much_again, ())
{
    runtime_estimator estimator;
    auto spans = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 10'000'000));
    RC_PRE(spans.size() >= 8U && spans.size() < 500U);
    for (const int span : spans)
        estimator.report("red", "batch", milliseconds(span));
    std::ranges::sort(spans);
    const auto truth = spans[(spans.size() + 1) / 2 - 1];
    const auto found = estimator.estimate("red", "batch", 0.5)->count();
    RC_ASSERT(found + 1 >= truth);
    RC_ASSERT(static_cast<double>(found) <= 1.5 * truth + 1);
}

TEST(runtime_estimator, says_nothing_before_it_has_seen_enough)
{
    runtime_estimator estimator;
    for (int i = 0; i < 7; ++i)
        estimator.report("red", "batch", milliseconds(100));
    EXPECT_FALSE(estimator.estimate("red", "batch", 0.5));
    EXPECT_FALSE(estimator.estimate("blue", "batch", 0.5));
}

TEST(runtime_estimator, follows_work_that_has_become_slower)
{
    runtime_estimator estimator;
    for (int i = 0; i < 5000; ++i)
        estimator.report("red", "batch", milliseconds(100));
    for (int i = 0; i < 1000; ++i)
        estimator.report("red", "batch", milliseconds(10'000));
    EXPECT_GE(estimator.estimate("red", "batch", 0.5)->count(), 10'000);
}

} // namespace
