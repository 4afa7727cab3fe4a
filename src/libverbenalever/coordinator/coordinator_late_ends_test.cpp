// Ends and answers that arrive after their runs were marked lost.

#include "coordinator/target_session.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

class coordinator_late_ends_test : public coordinator_fixture {};

// The end of a run that was marked lost arrives while the next run is placed and its start not
// sent. Removing that placement must not count the finished task as waiting.
TEST_F(coordinator_late_ends_test, a_late_end_completes_a_task_that_is_placed_again)
{
    auto& lost_target = this->targets.add("t1", 1000);
    lost_target.task_duration = milliseconds(0);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(2, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(lost_target.running.size(), 1);
    const auto [task, run] = *lost_target.running.begin();
    lost_target.unresponsive = true;
    lost_target.running.clear();
    lost_target.ended = {{1, task, run, target_view::ending::done, {}}};
    lost_target.last_end_number = 1;
    this->targets.add("t3", 1000).task_duration = milliseconds(0);
    this->targets.publish_targets();
    this->run_for(milliseconds(1000));
    constexpr int delayed_transactions = 5;
    this->store.transactions_to_delay = delayed_transactions;
    while (this->store.transactions_to_delay == delayed_transactions)
        this->run_for(milliseconds(1));
    lost_target.unresponsive = false;
    this->run_for(milliseconds(4000));
    EXPECT_EQ(first.metrics.value("waiting_miscounted"), 0);
    EXPECT_EQ(this->targets.start_count, 2);
    this->targets.end_all("t2", target_view::ending::done);
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->state(first, "w"), workflow_state::completed);
}

// The end of a gang's earlier run arrives while the next run is placed and its starts not sent. The
// workflow then ends and its steps are cleared: starting the other members anyway would read the
// cleared steps and crash.
TEST_F(coordinator_late_ends_test, a_late_end_of_a_gang_removes_the_placements_of_its_next_run)
{
    auto& lost_target = this->targets.add("t1", 1000);
    lost_target.task_duration = milliseconds(0);
    auto& other_target = this->targets.add("t2", 1000);
    other_target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "gang", {this->tasks(2, 1, true)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(lost_target.running.size(), 1);
    const auto [task, run] = *lost_target.running.begin();
    lost_target.unresponsive = true;
    lost_target.running.clear();
    lost_target.ended = {{1, task, run, target_view::ending::done, {}}};
    lost_target.last_end_number = 1;
    this->run_for(milliseconds(700));
    while (!other_target.running.empty())
        this->run_for(milliseconds(1));
    constexpr int delayed_transactions = 1000;
    this->store.transactions_to_delay = delayed_transactions;
    this->targets.add("t3", 1000).task_duration = milliseconds(0);
    this->targets.publish_targets();
    while (this->store.transactions_to_delay == delayed_transactions)
        this->run_for(milliseconds(1));
    int polls = 0;
    this->targets.on_poll = [&polls](std::int64_t) { ++polls; };
    lost_target.unresponsive = false;
    while (polls == 0)
        this->run_for(milliseconds(1));
    this->run_for(milliseconds(50)); // the end is known before the placements are stored
    this->store.transactions_to_delay = 0;
    this->run_for(milliseconds(4000));
    EXPECT_EQ(this->state(first, "gang"), workflow_state::completed);
    EXPECT_EQ(this->targets.start_count, 2);
    EXPECT_EQ(this->targets.running("gang"), 0);
    // The resources of the removed placements are free.
    this->submit(first, "next", {this->tasks(3, 1)});
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->targets.running("next"), 3);
}

// One member of a gang has ended, the start of another was never confirmed. Sending that start
// again would read the workflow's steps, which are cleared at its end.
TEST_F(coordinator_late_ends_test,
       an_unconfirmed_start_is_not_repeated_after_its_workflow_has_ended)
{
    this->targets.add("t1", 1000).task_duration = milliseconds(0);
    auto& unconfirmed_target = this->targets.add("t2", 2000);
    unconfirmed_target.task_duration = milliseconds(0);
    unconfirmed_target.loses_response = [](const start_order& order) {
        return order.task.workflow == "gang";
    };
    unconfirmed_target.order_delay = milliseconds(150);
    auto& first = this->elect("vm-1");
    auto members = this->tasks(2, 1, true);
    members.max_per_target = 1;
    this->submit(first, "gang", {members});
    this->run_for(milliseconds(100));
    ASSERT_EQ(this->targets.running("gang"), 2);
    this->targets.end_all("t1", target_view::ending::done);
    this->run_for(milliseconds(60));
    ASSERT_EQ(this->state(first, "gang"), workflow_state::completed);
    // The answer to this start makes the target reachable again; the other start stays unanswered.
    this->submit(first, "other", {this->tasks(2, 1)});
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.running("gang"), 0);
    EXPECT_EQ(this->targets.start_count, 4);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

} // namespace
} // namespace verbenalever
