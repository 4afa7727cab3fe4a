#include "scheduling/drain_rate.h"

#include <gtest/gtest.h>

namespace {

using verbenalever::drain_rate;
using verbenalever::milliseconds;
using verbenalever::monotonic_time;

constexpr monotonic_time start_time{std::chrono::hours(1)};

/// Start one piece of work every @p interval while a hundred others wait.
/// @return the time of the last start
monotonic_time drain_steadily(drain_rate& rate, int count, milliseconds interval)
{
    auto now = start_time;
    rate.length_changed(100, now);
    for (int i = 0; i < count; ++i)
        rate.work_started(100, now += interval);
    return now;
}

TEST(drain_rate, has_no_estimate_before_any_work_has_waited)
{
    drain_rate rate;
    rate.length_changed(0, start_time);
    EXPECT_FALSE(rate.per_second(start_time + milliseconds(60'000)));
    EXPECT_FALSE(rate.estimated_wait(10, start_time));
    EXPECT_GT(rate.retry_after(10, start_time).count(), 0);
}

TEST(drain_rate, estimates_a_steady_rate_after_few_starts)
{
    for (const int count : {10, 100, 5000}) {
        drain_rate rate;
        const auto now = drain_steadily(rate, count, milliseconds(10));
        EXPECT_NEAR(rate.per_second(now).value_or(0), 100, 5) << count;
        EXPECT_NEAR(static_cast<double>(rate.estimated_wait(199, now)->count()), 2000, 100);
    }
}

TEST(drain_rate, rate_falls_while_work_waits_and_none_starts)
{
    drain_rate rate;
    const auto now = drain_steadily(rate, 1000, milliseconds(10));
    EXPECT_LT(*rate.per_second(now + milliseconds(5000)), 50);
    EXPECT_GT(*rate.estimated_wait(99, now + milliseconds(5000)),
              2 * *rate.estimated_wait(99, now));
}

TEST(drain_rate, idle_time_does_not_lower_the_rate)
{
    drain_rate rate;
    const auto now = drain_steadily(rate, 1000, milliseconds(10));
    const auto before = *rate.per_second(now);
    rate.length_changed(0, now);
    EXPECT_DOUBLE_EQ(*rate.per_second(now + milliseconds(60'000)), before);
}

TEST(drain_rate, clamps_retry_after)
{
    drain_rate rate;
    const auto now = drain_steadily(rate, 1000, milliseconds(10));
    EXPECT_EQ(rate.retry_after(0, now), milliseconds(100));
    EXPECT_EQ(rate.retry_after(100'000'000, now), milliseconds(60'000));
}

} // namespace
