#include "scheduling/runtime_estimator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace {

using verbenalever::milliseconds;
using verbenalever::runtime_estimator;

RC_GTEST_PROP(runtime_estimator, estimates_between_the_true_quantile_and_one_and_a_half_times_it,
              ())
{
    runtime_estimator estimator;
    auto run_times = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 10'000'000));
    RC_PRE(run_times.size() >= 8U && run_times.size() < 500U);
    for (const int run_time : run_times)
        estimator.add("red", "batch", milliseconds(run_time));
    std::ranges::sort(run_times);
    const auto true_median = run_times[(run_times.size() + 1) / 2 - 1];
    const auto estimate = estimator.estimate("red", "batch", 0.5)->count();
    RC_ASSERT(estimate + 1 >= true_median);
    RC_ASSERT(static_cast<double>(estimate) <= 1.5 * true_median + 1);
}

TEST(runtime_estimator, has_no_estimate_before_the_minimum_number_of_samples)
{
    runtime_estimator estimator;
    for (int i = 0; i < 7; ++i)
        estimator.add("red", "batch", milliseconds(100));
    EXPECT_FALSE(estimator.estimate("red", "batch", 0.5));
    EXPECT_FALSE(estimator.estimate("blue", "batch", 0.5));
}

TEST(runtime_estimator, estimate_follows_work_that_becomes_slower)
{
    runtime_estimator estimator;
    for (int i = 0; i < 5000; ++i)
        estimator.add("red", "batch", milliseconds(100));
    for (int i = 0; i < 1000; ++i)
        estimator.add("red", "batch", milliseconds(10'000));
    EXPECT_GE(estimator.estimate("red", "batch", 0.5)->count(), 10'000);
}

} // namespace
