#include "coordinator/run_length_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace verbenalever {
namespace {

TEST(run_length_model, the_estimate_is_returned_until_enough_runs_have_ended)
{
    const run_length_model model;
    EXPECT_EQ(model.predict(milliseconds(700)), milliseconds(700));
}

TEST(run_length_model, accurate_estimates_are_returned_unchanged)
{
    run_length_model model;
    std::mt19937 random(7);
    std::uniform_int_distribution<int> length(200, 10'000);
    for (int run = 0; run < 200; ++run) {
        const milliseconds duration(length(random));
        model.learn(duration, duration);
    }
    EXPECT_NEAR(static_cast<double>(model.predict(milliseconds(300)).count()), 300, 5);
    EXPECT_NEAR(static_cast<double>(model.predict(milliseconds(9000)).count()), 9000, 100);
}

// Load pattern: estimated run times that are too high or too low by factors.
TEST(run_length_model, uncorrelated_estimates_give_the_mean_duration)
{
    run_length_model model;
    std::mt19937 random(7);
    std::normal_distribution<double> log_error(0, 1);
    for (int run = 0; run < 500; ++run)
        model.learn(milliseconds(static_cast<std::int64_t>(2000 * std::exp(log_error(random)))),
                    milliseconds(2000));
    EXPECT_NEAR(static_cast<double>(model.predict(milliseconds(200)).count()), 2000, 100);
    EXPECT_NEAR(static_cast<double>(model.predict(milliseconds(20'000)).count()), 2000, 100);
}

TEST(run_length_model, the_prediction_follows_a_change_of_run_durations)
{
    run_length_model model;
    for (int run = 0; run < 1000; ++run)
        model.learn(milliseconds(1000), milliseconds(1000));
    for (int run = 0; run < 1500; ++run)
        model.learn(milliseconds(1000), milliseconds(4000));
    EXPECT_GT(model.predict(milliseconds(1000)), milliseconds(3800));
}

} // namespace
} // namespace verbenalever
