#include "coordinator/team_usage_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace verbenalever {
namespace {

resources cores(std::int64_t count)
{
    return {.processors_milli = count * 1000};
}

TEST(team_usage_tracker_test, a_team_starts_no_more_than_its_limit)
{
    team_usage_tracker tracker;
    tracker.add_run("a", cores(7), false);
    EXPECT_EQ(tracker.max_runs_within_limit("a", cores(10), cores(2), 5, false), 1);
    EXPECT_EQ(tracker.max_runs_within_limit("b", cores(10), cores(2), 5, false), 5);
    EXPECT_EQ(tracker.max_runs_within_limit("a", {}, cores(2), 5, false), 5);
}

TEST(team_usage_tracker_test, runs_that_may_be_on_unpolled_targets_count_against_the_limit)
{
    team_usage_tracker tracker;
    tracker.add_possible_run("a", cores(8));
    EXPECT_EQ(tracker.max_runs_within_limit("a", cores(10), cores(2), 5, true), 1);
    tracker.remove_possible_run("a", cores(8));
    EXPECT_EQ(tracker.max_runs_within_limit("a", cores(10), cores(2), 5, true), 5);
}

// Load pattern: a burst of slow work of a team whose urgent work also arrives in bursts.
TEST(team_usage_tracker_test, slow_work_does_not_use_the_recent_peak_of_urgent_work)
{
    team_usage_tracker tracker;
    tracker.add_run("a", cores(4), true);
    tracker.remove_run("a", cores(4), true);
    EXPECT_EQ(tracker.max_runs_within_limit("a", cores(10), cores(1), 20, false), 6);
    EXPECT_EQ(tracker.max_runs_within_limit("a", cores(10), cores(1), 20, true), 10);
    for (int round = 0; round < 300; ++round)
        tracker.decay_urgent_peaks();
    EXPECT_EQ(tracker.max_runs_within_limit("a", cores(10), cores(1), 20, false), 10);
}

// A gang of nearly its team's whole limit waited for many seconds on an idle fleet after a burst of
// urgent work, until the peak had faded.
TEST(team_usage_tracker_test, the_peak_of_a_single_burst_is_not_kept_for_long)
{
    team_usage_tracker tracker;
    tracker.add_run("a", cores(9), true);
    for (int round = 0; round < 20; ++round)
        tracker.decay_urgent_peaks();
    tracker.remove_run("a", cores(9), true);
    for (int round = 0; round < 9; ++round)
        tracker.decay_urgent_peaks();
    EXPECT_LT(tracker.max_runs_within_limit("a", cores(10), cores(1), 10, false), 4);
    for (int round = 0; round < 2; ++round)
        tracker.decay_urgent_peaks();
    EXPECT_EQ(tracker.max_runs_within_limit("a", cores(10), cores(1), 10, false), 10);
}

// Load pattern: one team submits many times its usual work.
TEST(team_usage_tracker_test, only_a_team_far_above_its_share_exceeds_it)
{
    team_usage_tracker tracker;
    tracker.add_run("hot", cores(60), true);
    tracker.add_run("calm", cores(20), true);
    EXPECT_TRUE(tracker.exceeds_share("hot", 1, 2, cores(100)));
    EXPECT_FALSE(tracker.exceeds_share("calm", 1, 2, cores(100)));
}

RC_GTEST_PROP(team_usage_tracker_test, starts_within_the_limit_never_exceed_it,
              (const std::vector<bool>& urgencies))
{
    team_usage_tracker tracker;
    const auto limit = cores(20);
    std::int64_t used = 0;
    for (const bool urgent : urgencies) {
        const auto count = *rc::gen::inRange<std::uint32_t>(0, 6);
        const auto need = cores(*rc::gen::inRange<std::int64_t>(1, 5));
        const auto fits = tracker.max_runs_within_limit("a", limit, need, count, urgent);
        RC_ASSERT(fits <= count);
        for (std::uint32_t run = 0; run < fits; ++run)
            tracker.add_run("a", need, urgent);
        used += fits * need.processors_milli;
        RC_ASSERT(used <= limit.processors_milli);
    }
}

} // namespace
} // namespace verbenalever
