#include "coordinator/crash_history.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace verbenalever {
namespace {

using evidence = crash_evidence;

/// Adds a crash of target @p target under the next run.
void add_crash(crash_history& history, evidence of_run, const std::string& target)
{
    history.add({static_cast<std::int64_t>(history.crashes().size() + 1), of_run, target, 1});
}

/// @return the history of runs 1, 2, ... with this evidence, each on another target
crash_history history_of(const std::vector<evidence>& of_runs)
{
    crash_history history;
    for (const auto of_run : of_runs)
        add_crash(history, of_run, "t" + std::to_string(history.crashes().size()));
    return history;
}

TEST(crash_history_test, a_run_counts_once_with_its_strongest_evidence)
{
    auto history = history_of({evidence::suspect});
    EXPECT_FALSE(history.add({1, evidence::suspect, "t", 1}));
    EXPECT_FALSE(history.add({1, evidence::bystander, "t", 1}));
    EXPECT_TRUE(history.add({1, evidence::sole_suspect, "t", 1}));
    EXPECT_EQ(history.crashes().size(), 1);
    EXPECT_TRUE(history.is_prime_suspect());
}

TEST(crash_history_test, one_crash_proves_nothing)
{
    EXPECT_FALSE(history_of({evidence::bystander}).is_suspect());
    EXPECT_TRUE(history_of({evidence::suspect}).is_suspect());
    EXPECT_FALSE(history_of({evidence::sole_suspect}).is_culprit());
}

TEST(crash_history_test, two_crashes_prove_it_only_when_one_had_no_other_suspect)
{
    EXPECT_FALSE(history_of({evidence::suspect, evidence::suspect}).is_culprit());
    EXPECT_FALSE(history_of({evidence::bystander, evidence::sole_suspect}).is_culprit());
    EXPECT_TRUE(history_of({evidence::suspect, evidence::sole_suspect}).is_culprit());
    EXPECT_TRUE(history_of({evidence::sole_suspect, evidence::suspect}).is_culprit());
}

TEST(crash_history_test, three_crashes_as_a_suspect_are_enough)
{
    EXPECT_TRUE(history_of({evidence::suspect, evidence::suspect, evidence::suspect}).is_culprit());
}

// A job failed by crashes of targets that may never have had its task.
TEST(crash_history_test, crashes_without_a_proof_that_the_task_was_there_prove_nothing)
{
    auto history = history_of({evidence::unconfirmed, evidence::unconfirmed});
    EXPECT_TRUE(history.is_suspect());
    add_crash(history, evidence::sole_suspect, "u1");
    for (int count = 0; count < 6; ++count)
        add_crash(history, evidence::unconfirmed, "v" + std::to_string(count));
    EXPECT_FALSE(history.is_culprit());
    add_crash(history, evidence::suspect, "u2");
    EXPECT_TRUE(history.is_culprit());
}

TEST(crash_history_test, three_targets_that_fall_silent_at_the_start_are_enough)
{
    EXPECT_FALSE(history_of({evidence::unanswered, evidence::sole_suspect}).is_culprit());
    EXPECT_TRUE(history_of({evidence::unanswered, evidence::unanswered, evidence::unanswered})
                    .is_culprit());
    auto mixed = history_of({evidence::unanswered, evidence::suspect, evidence::unanswered});
    EXPECT_FALSE(mixed.is_culprit()) << "a start was confirmed";
    add_crash(mixed, evidence::unanswered, "u");
    EXPECT_TRUE(mixed.is_culprit());
}

// A target that crashes under each work made its tasks fail.
TEST(crash_history_test, crashes_of_one_target_may_be_its_own_fault)
{
    crash_history history;
    for (int count = 0; count < 3; ++count)
        add_crash(history, evidence::sole_suspect, "t");
    EXPECT_FALSE(history.is_culprit());
    auto elsewhere = history;
    add_crash(elsewhere, evidence::sole_suspect, "other");
    EXPECT_TRUE(elsewhere.is_culprit());
    add_crash(history, evidence::sole_suspect, "t");
    EXPECT_TRUE(history.is_culprit()) << "the bound on its starts";
}

// A sound task was given up although a run between two crashes had gone on for long.
TEST(crash_history_test, a_run_that_outlives_its_start_discounts_earlier_crashes)
{
    auto history = history_of({evidence::sole_suspect, evidence::unanswered, evidence::bystander});
    EXPECT_TRUE(history.discount(4));
    EXPECT_FALSE(history.discount(4));
    EXPECT_EQ(history.crashes().size(), 1);
    history.add({4, evidence::sole_suspect, "t4", 1});
    EXPECT_FALSE(history.is_culprit());
    history.add({5, evidence::suspect, "t5", 1});
    EXPECT_TRUE(history.is_culprit());
}

TEST(crash_history_test, a_bystander_is_not_given_up_before_it_was_suspected_twice)
{
    auto history = history_of({evidence::bystander, evidence::bystander});
    EXPECT_FALSE(history.is_suspect());
    add_crash(history, evidence::bystander, "u1");
    EXPECT_TRUE(history.is_suspect());
    EXPECT_TRUE(history.crashes_late());
    EXPECT_FALSE(history.is_culprit());
    add_crash(history, evidence::suspect, "u2");
    EXPECT_FALSE(history.is_culprit());
    add_crash(history, evidence::suspect, "u3");
    EXPECT_TRUE(history.is_culprit());
}

} // namespace
} // namespace verbenalever
