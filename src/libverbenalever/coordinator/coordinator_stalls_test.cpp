// Runs that stop making progress on targets that still answer.

#include "coordinator/target_session.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

class coordinator_stalls_test : public coordinator_fixture {};

// Load pattern: tasks on some targets make no progress, while those targets still answer.
TEST_F(coordinator_stalls_test, a_stalled_run_is_stopped_and_restarted_elsewhere)
{
    this->targets.add("t1", 1000).is_stalled = true;
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("w"), 1);
    this->targets.add("t2", 1000);
    this->targets.publish_targets();
    this->run_for(milliseconds(3500));
    EXPECT_EQ(this->state(first, "w"), workflow_state::completed);
    EXPECT_EQ(this->targets.start_count, 2);
    this->submit(first, "next", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    EXPECT_EQ(this->state(first, "next"), workflow_state::completed)
        << "must not start on the stalled target";
}

TEST_F(coordinator_stalls_test, a_run_that_makes_progress_is_not_stopped)
{
    this->targets.add("t1", 1000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(4500));
    EXPECT_EQ(this->targets.start_count, 1);
    EXPECT_EQ(this->targets.running("w"), 1);
}

// A task that took minutes was stopped again and again as stalled: its percent, a whole number,
// grew only every few seconds.
TEST_F(coordinator_stalls_test, a_long_run_with_rare_percents_is_not_stopped)
{
    auto& target = this->targets.add("t1", 1000);
    target.task_duration = milliseconds(0);
    target.percent_time = milliseconds(2500);
    auto& first = this->elect("vm-1");
    auto step = this->tasks(1, 1);
    step.estimated_ms = 250'000;
    this->submit(first, "w", {step});
    this->run_for(milliseconds(6000));
    EXPECT_EQ(this->targets.start_count, 1);
    EXPECT_EQ(this->targets.running("w"), 1);
}

// The same for a task that takes far longer than its estimate: it was stopped without an end.
TEST_F(coordinator_stalls_test, a_run_that_is_much_longer_than_estimated_is_not_stopped_for_ever)
{
    for (const auto* name : {"t1", "t2", "t3", "t4"}) {
        auto& target = this->targets.add(name, 1000);
        target.task_duration = milliseconds(0);
        target.percent_time = milliseconds(2400);
    }
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(9000));
    const auto starts = this->targets.start_count;
    EXPECT_LE(starts, 4);
    this->run_for(milliseconds(6000));
    EXPECT_EQ(this->targets.start_count, starts);
    EXPECT_EQ(this->targets.running("w"), 1);
}

} // namespace
} // namespace verbenalever
