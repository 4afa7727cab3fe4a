#include "requests/queue_load.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

constexpr milliseconds round_length{10};

TEST(queue_load, estimated_wait_is_length_over_departure_rate)
{
    queue_load load;
    auto now = monotonic_time(std::chrono::hours(1));
    for (int request = 0; request < 50; ++request)
        load.request_queued(now);
    // In each round of 10 ms one request is dequeued and one is queued: 100 per second.
    for (int round = 0; round < 300; ++round) {
        now += round_length;
        load.request_dequeued(now, true);
        load.request_queued(now);
    }
    EXPECT_NEAR(static_cast<double>(load.estimated_wait().count()), 500'000, 50'000);
    EXPECT_NEAR(static_cast<double>(load.retry_after().count()), 500, 50);
}

TEST(queue_load, departures_from_an_empty_queue_are_not_counted)
{
    queue_load load;
    auto now = monotonic_time(std::chrono::hours(1));
    for (int round = 0; round < 10; ++round) {
        now += std::chrono::seconds(1);
        load.request_queued(now);
        load.request_dequeued(now, true);
    }
    load.request_queued(now);
    EXPECT_EQ(load.estimated_wait(), microseconds(0));
}

TEST(queue_load, a_queue_without_starts_has_a_long_estimated_wait)
{
    queue_load load;
    auto now = monotonic_time(std::chrono::hours(1));
    load.request_queued(now);
    load.request_queued(now);
    now += std::chrono::seconds(1);
    load.request_dequeued(now, false);
    EXPECT_GE(load.estimated_wait(), std::chrono::seconds(60));
    EXPECT_LE(load.retry_after(), std::chrono::seconds(30));
}

TEST(queue_load, the_response_timeout_needs_samples_and_covers_their_spread)
{
    response_time_estimator times;
    for (int sample = 0; sample < 40; ++sample) {
        EXPECT_EQ(times.timeout().has_value(), sample >= 20);
        times.add(milliseconds(sample % 2 == 0 ? 200 : 300));
    }
    EXPECT_GE(times.high_estimate(), milliseconds(300));
    EXPECT_GE(*times.timeout(), milliseconds(500));
}

} // namespace
} // namespace verbenalever
