#include "targets/target_health.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

constexpr milliseconds time_per_result{10};

/// A target_health with a clock that advances with each result.
struct simulated_targets {
    target_health health;
    monotonic_time now = monotonic_time(std::chrono::hours(1));

    void end(std::string_view target, std::string_view source, bool failed)
    {
        this->now += time_per_result;
        this->health.record_end(target, source, failed, this->now);
    }
};

TEST(target_health, a_target_that_fails_everything_goes_on_probation)
{
    simulated_targets test;
    for (int round = 0; round < 10; ++round) {
        test.end("healthy", "queue", false);
        test.end("unhealthy", "queue", true);
    }
    EXPECT_TRUE(test.health.on_probation("unhealthy"));
    EXPECT_FALSE(test.health.on_probation("healthy"));
    EXPECT_FALSE(test.health.accepts_work("unhealthy", test.now));
    EXPECT_TRUE(test.health.accepts_work("healthy", test.now));
}

TEST(target_health, earlier_successes_do_not_delay_probation)
{
    simulated_targets test;
    for (int round = 0; round < 1000; ++round) {
        test.end("healthy", "queue", false);
        test.end("failing", "queue", false);
    }
    int failures = 0;
    while (!test.health.on_probation("failing") && failures < 100) {
        test.end("failing", "queue", true);
        ++failures;
    }
    EXPECT_LE(failures, 16);
}

TEST(target_health, a_source_that_fails_everywhere_puts_no_target_on_probation)
{
    simulated_targets test;
    for (int round = 0; round < 50; ++round) {
        test.end("one", "broken", true);
        test.end("two", "broken", true);
        test.end("one", "working", false);
    }
    EXPECT_FALSE(test.health.on_probation("one"));
    EXPECT_FALSE(test.health.on_probation("two"));
}

TEST(target_health, at_most_half_of_the_targets_go_on_probation)
{
    simulated_targets test;
    for (int round = 0; round < 50; ++round) {
        test.end("healthy", "queue", false);
        for (const auto* name : {"a", "b", "c"})
            test.end(name, "queue", true);
    }
    int on_probation_count = 0;
    for (const auto* name : {"a", "b", "c", "healthy"})
        on_probation_count += test.health.on_probation(name) ? 1 : 0;
    EXPECT_EQ(on_probation_count, 2);
    EXPECT_FALSE(test.health.on_probation("healthy"));
}

TEST(target_health, probes_one_at_a_time_with_backoff_until_three_succeed)
{
    simulated_targets test;
    for (int round = 0; round < 10; ++round) {
        test.end("healthy", "queue", false);
        test.end("unhealthy", "queue", true);
    }
    int probes = 0;
    const auto until = test.now + std::chrono::seconds(20);
    while (test.now < until) {
        test.now += time_per_result;
        if (!test.health.accepts_work("unhealthy", test.now))
            continue;
        ++probes;
        test.health.record_start("unhealthy", test.now);
        EXPECT_FALSE(test.health.accepts_work("unhealthy", test.now));
        test.end("unhealthy", "queue", true);
    }
    EXPECT_GE(probes, 3);
    EXPECT_LE(probes, 8);
    test.now += std::chrono::seconds(10);
    for (int success = 0; success < 3; ++success) {
        ASSERT_TRUE(test.health.accepts_work("unhealthy", test.now));
        test.health.record_start("unhealthy", test.now);
        test.end("unhealthy", "queue", false);
    }
    EXPECT_FALSE(test.health.on_probation("unhealthy"));
}

} // namespace
} // namespace verbenalever
