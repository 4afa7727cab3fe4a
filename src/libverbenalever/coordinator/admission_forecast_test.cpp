#include "coordinator/admission_forecast.h"

#include <gtest/gtest.h>

#include <set>

namespace verbenalever {
namespace {

constexpr std::int64_t core = 1000;             // thousandths of a processor
constexpr std::int64_t core_second = 1'000'000; // thousandths of a processor times milliseconds

/// An urgent submission of 3 tasks on 2.5 cores with an objective of 1.2 s, as the requirements
/// have it, of a team with a limit of 60 cores in a fleet of 5,600.
admission_forecast::conditions urgent_submission()
{
    return {.priority = 0,
            .objective = milliseconds(1200),
            .processors = 3 * core * 5 / 2,
            .team = {.capacity = 60 * core},
            .fleet = {.capacity = 5600 * core}};
}

/// Work of that many such submissions that waits.
waiting_work::amount urgent_work(std::int64_t workflows)
{
    return {.workflows = workflows,
            .processors_milli = workflows * 3 * core * 5 / 2,
            .processor_time = workflows * 3 * core_second * 64 / 100 * 5 / 2};
}

TEST(admission_forecast, accepts_without_data)
{
    EXPECT_FALSE(admission_forecast::judge({}));
    auto unknown_objective = urgent_submission();
    unknown_objective.objective = milliseconds(0);
    unknown_objective.team.ahead = urgent_work(10'000);
    EXPECT_FALSE(admission_forecast::judge(unknown_objective));
    auto unknown_fleet = urgent_submission();
    unknown_fleet.fleet = {.ahead = urgent_work(100'000)};
    EXPECT_FALSE(admission_forecast::judge(unknown_fleet));
}

TEST(admission_forecast, accepts_on_an_empty_fleet)
{
    EXPECT_FALSE(admission_forecast::judge(urgent_submission()));
}

// A team that submits seven times its usual work filled its limit with work that ended too late.
// The work of its queue must not keep another team's submissions from being accepted.
TEST(admission_forecast, a_team_far_above_its_limit_is_refused_because_of_its_own_queue)
{
    // The team submits 220 cores of work to a limit of 60 for 2.5 s.
    auto hot = urgent_submission();
    hot.team.ahead = urgent_work(83);
    hot.team.used_by_them = 60 * core;
    hot.fleet.ahead = urgent_work(83);
    const auto refusal = admission_forecast::judge(hot);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->why, admission_forecast::cause::team);
    EXPECT_GT(refusal->wait, hot.objective * 3);
    auto other = urgent_submission();
    other.fleet.ahead = urgent_work(83);
    EXPECT_FALSE(admission_forecast::judge(other));
}

// Three times the usual is within what a team's limit works off in time to be of some use.
TEST(admission_forecast, a_queue_that_ends_within_three_objectives_is_accepted)
{
    auto busy = urgent_submission();
    busy.team.used_by_them = 60 * core;
    busy.team.ahead = urgent_work(40);
    ASSERT_GT(admission_forecast::predict_wait(busy.team, busy.processors), busy.objective);
    EXPECT_FALSE(admission_forecast::judge(busy));
}

// A few large workflows ahead say little: each may end or be preempted sooner.
TEST(admission_forecast, a_handful_of_workflows_ahead_refuses_nothing)
{
    auto behind_few = urgent_submission();
    behind_few.team.used_by_them = 60 * core;
    behind_few.team.ahead = {
        .workflows = 5, .processors_milli = 300 * core, .processor_time = 6000 * core_second};
    EXPECT_FALSE(admission_forecast::judge(behind_few));
}

// Urgent work is ahead of batch work, but a burst of it is over long before the batch work is due.
TEST(admission_forecast, a_short_urgent_burst_refuses_no_batch_submission)
{
    auto batch = urgent_submission();
    batch.priority = 2;
    batch.objective = milliseconds(8400);
    batch.team.used_by_them = 60 * core;
    batch.team.ahead = urgent_work(200);
    EXPECT_FALSE(admission_forecast::judge(batch));
    auto urgent = urgent_submission();
    urgent.team = batch.team;
    EXPECT_TRUE(admission_forecast::judge(urgent));
}

TEST(admission_forecast, free_capacity_for_all_that_waits_means_no_wait)
{
    admission_forecast::bottleneck team{.ahead = urgent_work(6), .capacity = 60 * core};
    EXPECT_EQ(admission_forecast::predict_wait(team, 3 * core), milliseconds(0));
    team.used_by_them = 30 * core;
    EXPECT_GT(admission_forecast::predict_wait(team, 3 * core), milliseconds(0));
}

TEST(admission_forecast, names_the_longest_wait)
{
    auto now = urgent_submission();
    now.fleet.ahead = urgent_work(10'000);
    EXPECT_EQ(admission_forecast::judge(now)->why, admission_forecast::cause::fleet);
    now.questions = {.questions = 900, .question_ms = 900 * 300};
    now.advisor_lines = 34;
    EXPECT_EQ(admission_forecast::judge(now)->why, admission_forecast::cause::fleet);
    now.advisor_lines = 8;
    EXPECT_EQ(admission_forecast::judge(now)->why, admission_forecast::cause::advisor);
}

// Urgent work is of no use later, and others must not come back together.
TEST(admission_forecast, retries_are_spread_and_sooner_for_urgent_work)
{
    const auto delays_of = [](int priority, milliseconds room_after) {
        std::set<std::int64_t> delays;
        for (const double spread : {0.0, 0.25, 0.5, 0.75, 0.999})
            delays.insert(admission_forecast::retry_after_refusal(priority, room_after, spread));
        return delays;
    };
    EXPECT_EQ(delays_of(0, milliseconds(30'000)), (std::set<std::int64_t>{1, 2}));
    EXPECT_EQ(*delays_of(1, milliseconds(30'000)).begin(), 3);
    EXPECT_EQ(*delays_of(2, milliseconds(30'000)).begin(), 6);
    EXPECT_EQ(*delays_of(2, milliseconds(30'000)).rbegin(), 12);
    EXPECT_EQ(*delays_of(2, milliseconds(-500)).begin(), 1);
}

// Callers that tried again after a second each had used up their retries before an outage of
// several seconds ended; then all that were left came back at once.
TEST(admission_forecast, retries_during_a_stall_outlast_it_and_are_spread_over_the_backlog)
{
    const auto retry = [](int priority, int backlog_s, double spread) {
        return admission_forecast::retry_after_stall(priority, milliseconds(backlog_s * 1000),
                                                     spread);
    };
    EXPECT_EQ(retry(0, 0, 0.999), 1);
    EXPECT_EQ(retry(2, 0, 0), 1);
    EXPECT_EQ(retry(2, 0, 0.5), 2);
    EXPECT_EQ(retry(2, 0, 0.999), 3);
    EXPECT_EQ(retry(2, 8, 0.999), 9);
    EXPECT_EQ(retry(2, 100, 0.999), 12);
    EXPECT_EQ(retry(0, 100, 0.999), 2);
}

} // namespace
} // namespace verbenalever
