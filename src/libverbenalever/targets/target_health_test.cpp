#include "targets/target_health.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

constexpr milliseconds step{10};

/// Targets under load, for some time.
struct bench {
    target_health health;
    monotonic_time now = monotonic_time(std::chrono::hours(1));

    void end(std::string_view target, std::string_view source, bool failed)
    {
        this->now += step;
        this->health.ended(target, source, failed, this->now);
    }
};

TEST(target_health, one_that_fails_everything_is_put_on_probation)
{
    bench test;
    for (int round = 0; round < 10; ++round) {
        test.end("good", "queue", false);
        test.end("sick", "queue", true);
    }
    EXPECT_TRUE(test.health.on_probation("sick"));
    EXPECT_FALSE(test.health.on_probation("good"));
    EXPECT_FALSE(test.health.admits("sick", test.now));
    EXPECT_TRUE(test.health.admits("good", test.now));
}

TEST(target_health, long_good_service_does_not_hide_a_failure)
{
    bench test;
    for (int round = 0; round < 1000; ++round) {
        test.end("good", "queue", false);
        test.end("turns", "queue", false);
    }
    int failures = 0;
    while (!test.health.on_probation("turns") && failures < 100) {
        test.end("turns", "queue", true);
        ++failures;
    }
    EXPECT_LE(failures, 16);
}

TEST(target_health, a_source_that_fails_everywhere_condemns_no_target)
{
    bench test;
    for (int round = 0; round < 50; ++round) {
        test.end("one", "broken", true);
        test.end("two", "broken", true);
        test.end("one", "sound", false);
    }
    EXPECT_FALSE(test.health.on_probation("one"));
    EXPECT_FALSE(test.health.on_probation("two"));
}

TEST(target_health, half_of_the_targets_stay_in_use)
{
    bench test;
    for (int round = 0; round < 50; ++round) {
        test.end("good", "queue", false);
        for (const auto* name : {"a", "b", "c"})
            test.end(name, "queue", true);
    }
    int withdrawn = 0;
    for (const auto* name : {"a", "b", "c", "good"})
        withdrawn += test.health.on_probation(name) ? 1 : 0;
    EXPECT_EQ(withdrawn, 2);
    EXPECT_FALSE(test.health.on_probation("good"));
}

TEST(target_health, one_probe_at_a_time_less_and_less_often_until_three_succeed)
{
    bench test;
    for (int round = 0; round < 10; ++round) {
        test.end("good", "queue", false);
        test.end("sick", "queue", true);
    }
    int probes = 0;
    const auto until = test.now + std::chrono::seconds(20);
    while (test.now < until) {
        test.now += step;
        if (!test.health.admits("sick", test.now))
            continue;
        ++probes;
        test.health.started("sick", test.now);
        EXPECT_FALSE(test.health.admits("sick", test.now));
        test.end("sick", "queue", true);
    }
    EXPECT_GE(probes, 3);
    EXPECT_LE(probes, 8);
    test.now += std::chrono::seconds(10);
    for (int success = 0; success < 3; ++success) {
        ASSERT_TRUE(test.health.admits("sick", test.now));
        test.health.started("sick", test.now);
        test.end("sick", "queue", false);
    }
    EXPECT_FALSE(test.health.on_probation("sick"));
}

} // namespace
} // namespace verbenalever
