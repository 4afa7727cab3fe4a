#include "coordinator/preemption_cost.h"

#include "coordinator/run_length_model.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

/// @return a module that has seen stops of up to @p longest, spread evenly
preemption_cost learned(milliseconds longest)
{
    preemption_cost cost;
    constexpr int stops = 40;
    for (int number = 1; number <= stops; ++number)
        cost.learn_stop(longest * (number * 7 % stops + 1) / stops);
    return cost;
}

// Load: stops of up to 400 ms and of up to 900 ms. A fixed duration would be wrong for one of them.
TEST(preemption_cost, the_duration_of_stops_is_learned)
{
    for (const milliseconds longest : {milliseconds(400), milliseconds(900)}) {
        const auto mean = learned(longest).stop_time();
        ASSERT_TRUE(mean);
        EXPECT_GT(*mean, longest / 3);
        EXPECT_LT(*mean, longest * 2 / 3);
    }
    EXPECT_FALSE(preemption_cost().stop_time());
}

// Load: stops of up to 900 ms. Runs were stopped for urgent steps that were late even so.
TEST(preemption_cost, a_step_that_is_late_after_the_stop_preempts_nothing)
{
    const preemptor_outlook with_100_ms{.time_left = milliseconds(640),
                                        .run_time = milliseconds(540)};
    EXPECT_TRUE(learned(milliseconds(900)).too_late(with_100_ms));
    // Nothing is avoided before stops have been seen.
    EXPECT_FALSE(preemption_cost().too_late(with_100_ms));
    EXPECT_LE(preemption_cost().longest_wait(with_100_ms), milliseconds(0));
}

// Load: stops of up to 400 ms. A step that meets its objective by a stop preempts as before.
TEST(preemption_cost, a_step_that_a_stop_helps_in_time_preempts)
{
    const auto cost = learned(milliseconds(400));
    EXPECT_FALSE(cost.too_late({.time_left = milliseconds(1000), .run_time = milliseconds(640)}));
}

// A step that waits must still be able to preempt in time afterwards, unless a stop takes as long.
TEST(preemption_cost, a_step_waits_no_longer_than_leaves_time_for_stops)
{
    const auto cost = learned(milliseconds(900));
    const milliseconds slack(2000);
    const auto wait = cost.longest_wait({.time_left = slack, .run_time = milliseconds(0)});
    EXPECT_GT(wait, milliseconds(700));
    EXPECT_LE(wait + milliseconds(900), slack);
    EXPECT_LT(cost.longest_wait({.time_left = milliseconds(300), .run_time = milliseconds(0)}),
              milliseconds(300));
}

// Load: a long tail, 3 of 100 tasks take 7 times as long. One of these looked as if it ended soon
// for as long as it ran.
TEST(preemption_cost, a_run_that_lasts_longer_than_predicted_is_not_expected_to_end)
{
    run_length_model lengths;
    for (int run = 0; run < 300; ++run)
        lengths.learn(milliseconds(2300), milliseconds(run % 100 < 3 ? 7 * 2300 : 2300));
    const auto predicted = lengths.predict(milliseconds(2300));
    ASSERT_LT(predicted, milliseconds(2300 * 5 / 4));
    const auto cost = learned(milliseconds(900));
    EXPECT_TRUE(cost.ends_during_stop({.age = milliseconds(2200), .predicted = predicted}));
    EXPECT_FALSE(cost.ends_during_stop({.age = milliseconds(3000), .predicted = predicted}));
    EXPECT_FALSE(preemption_cost::expected_rest({.age = milliseconds(3000), .predicted = predicted})
                     .has_value());
    // Progress shows it earlier: 14 percent are done after 2.2 s.
    EXPECT_FALSE(cost.ends_during_stop({.age = milliseconds(2200),
                                        .predicted = predicted,
                                        .percent = 14,
                                        .age_at_percent = milliseconds(2200)}));
}

// Load: targets whose speeds differ by a factor of two, all full. Ends on several targets count,
// and each end only once.
TEST(preemption_cost, waiting_needs_twice_the_capacity_within_the_wait)
{
    const resources core{.processors_milli = 1000};
    const std::vector<capacity_forecast> targets{
        {.available = {}, .ends = {{milliseconds(100), core, 0}, {milliseconds(300), core, 1}}},
        {.available = {}, .ends = {{milliseconds(200), core, 2}, {milliseconds(900), core, 3}}}};
    const auto one = preemption_cost::find_ends(targets, core, 1, milliseconds(400));
    ASSERT_TRUE(one);
    EXPECT_GE(one->wait, milliseconds(200));
    EXPECT_LT(one->wait, milliseconds(300));
    EXPECT_EQ(one->runs, (std::vector<std::size_t>{0, 2}));
    EXPECT_FALSE(preemption_cost::find_ends(targets, core, 2, milliseconds(400)));
    EXPECT_TRUE(preemption_cost::find_ends(targets, core, 2, milliseconds(1000)));
    const resources two_cores{.processors_milli = 2000};
    EXPECT_FALSE(preemption_cost::find_ends(targets, two_cores, 1, milliseconds(400)));
}

// Load: a gang of 20 victims of 4.5 cores for one urgent task of 2.5 cores: the stop of one member
// ends them all.
TEST(preemption_cost, a_gang_is_lost_whole)
{
    const preemptor_outlook urgent{.work = 640.0 * 2500};
    const stop_candidate member{.repeated = milliseconds(1000), .processors_milli = 4500};
    auto gang = member;
    gang.members = 20;
    EXPECT_LT(preemption_cost::lost_work(member), preemption_cost::max_lost_work(urgent));
    EXPECT_GT(preemption_cost::lost_work(gang), preemption_cost::max_lost_work(urgent));
}

// Load: bursts of urgent work every few seconds; batch tasks never ended.
TEST(preemption_cost, a_task_is_stopped_a_bounded_number_of_times)
{
    EXPECT_FALSE(preemption_cost::stopped_too_often(0));
    std::uint32_t stops = 0;
    while (stops < 10 && !preemption_cost::stopped_too_often(stops))
        ++stops;
    EXPECT_LT(stops, 10);
}

} // namespace
} // namespace verbenalever
