#include "coordinator/crash_history.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

using evidence = crash_evidence;

/// @return the history of runs 1, 2, ... with this evidence
crash_history history_of(const std::vector<evidence>& of_runs)
{
    crash_history history;
    for (std::size_t index = 0; index < of_runs.size(); ++index)
        history.add({static_cast<std::int64_t>(index + 1), of_runs[index], "t"});
    return history;
}

TEST(crash_history_test, a_run_counts_once_with_its_strongest_evidence)
{
    auto history = history_of({evidence::suspect});
    EXPECT_FALSE(history.add({1, evidence::suspect, "t"}));
    EXPECT_FALSE(history.add({1, evidence::bystander, "t"}));
    EXPECT_TRUE(history.add({1, evidence::sole_suspect, "t"}));
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

TEST(crash_history_test, starts_that_were_not_confirmed_are_weak_evidence)
{
    auto history = history_of({evidence::unconfirmed, evidence::unconfirmed});
    EXPECT_TRUE(history.is_suspect());
    history.add({3, evidence::sole_suspect, "t"});
    EXPECT_FALSE(history.is_culprit());
    history.add({4, evidence::unconfirmed, "t"});
    EXPECT_TRUE(history.is_culprit());
}

TEST(crash_history_test, a_bystander_is_not_given_up_before_it_was_suspected)
{
    auto history = history_of({evidence::bystander, evidence::bystander});
    EXPECT_FALSE(history.is_suspect());
    history.add({3, evidence::bystander, "t"});
    EXPECT_TRUE(history.is_suspect());
    EXPECT_TRUE(history.crashes_late());
    EXPECT_FALSE(history.is_culprit());
    history.add({4, evidence::suspect, "t"});
    EXPECT_TRUE(history.is_culprit());
}

} // namespace
} // namespace verbenalever
