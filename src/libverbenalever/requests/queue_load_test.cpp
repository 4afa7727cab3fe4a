#include "requests/queue_load.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

constexpr milliseconds step{10};

TEST(queue_load, wait_is_length_over_the_rate_of_departures)
{
    queue_load load;
    auto now = monotonic_time(std::chrono::hours(1));
    for (int request = 0; request < 50; ++request)
        load.joined(now);
    // One leaves and one joins each step: 100 a second.
    for (int round = 0; round < 300; ++round) {
        now += step;
        load.left(now, true);
        load.joined(now);
    }
    EXPECT_NEAR(static_cast<double>(load.estimated_wait().count()), 500'000, 50'000);
    EXPECT_NEAR(static_cast<double>(load.retry_after().count()), 500, 50);
}

TEST(queue_load, departures_from_an_empty_queue_say_nothing_about_capacity)
{
    queue_load load;
    auto now = monotonic_time(std::chrono::hours(1));
    for (int round = 0; round < 10; ++round) {
        now += std::chrono::seconds(1);
        load.joined(now);
        load.left(now, true);
    }
    load.joined(now);
    EXPECT_EQ(load.estimated_wait(), microseconds(0));
}

TEST(queue_load, a_queue_that_does_not_move_is_a_long_wait)
{
    queue_load load;
    auto now = monotonic_time(std::chrono::hours(1));
    load.joined(now);
    load.joined(now);
    now += std::chrono::seconds(1);
    load.left(now, false);
    EXPECT_GE(load.estimated_wait(), std::chrono::seconds(60));
    EXPECT_LE(load.retry_after(), std::chrono::seconds(30));
}

TEST(queue_load, a_service_timeout_needs_samples_and_covers_their_spread)
{
    response_time times;
    for (int sample = 0; sample < 40; ++sample) {
        EXPECT_EQ(times.timeout().has_value(), sample >= 20);
        times.add(milliseconds(sample % 2 == 0 ? 200 : 300));
    }
    EXPECT_GE(times.nearly_all(), milliseconds(300));
    EXPECT_GE(*times.timeout(), milliseconds(500));
}

} // namespace
} // namespace verbenalever
