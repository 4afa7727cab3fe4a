// Ends and answers that come after their runs were given up.

#include "coordinator/target_session.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

class coordinator_late_ends_test : public coordinator_fixture {};

// The end of a run thought lost comes while its next run has a place and was not ordered yet.
// Giving that place up counted the finished task as waiting.
TEST_F(coordinator_late_ends_test, a_late_end_of_a_task_that_has_its_next_place_finishes_it)
{
    auto& lost = this->targets.add("t1", 1000);
    lost.work = milliseconds(0);
    this->targets.add("t2", 1000).work = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(2, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(lost.running.size(), 1);
    const auto [task, run] = *lost.running.begin();
    lost.silent = true;
    lost.running.clear();
    lost.ended = {{1, task, run, target_view::ending::done, {}}};
    lost.last_end = 1;
    this->targets.add("t3", 1000).work = milliseconds(0);
    this->targets.tell_list();
    this->run_for(milliseconds(1000));
    constexpr int held_back = 5;
    this->store.transactions_late = held_back;
    while (this->store.transactions_late == held_back)
        this->run_for(milliseconds(1));
    lost.silent = false;
    this->run_for(milliseconds(4000));
    EXPECT_EQ(first.count.value("waiting_miscounted"), 0);
    EXPECT_EQ(this->targets.starts, 2);
    this->targets.end_all("t2", target_view::ending::done);
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->state(first, "w"), workflow_state::completed);
}

// The end of a gang's earlier run comes while the members of its next run have places and were not
// ordered yet. The workflow then ends, its steps are dropped, and the members that had not told the
// end used to be ordered all the same: the process ended in reading the steps.
TEST_F(coordinator_late_ends_test, a_late_end_of_a_gang_gives_up_the_places_of_its_next_run)
{
    auto& lost = this->targets.add("t1", 1000);
    lost.work = milliseconds(0);
    auto& other = this->targets.add("t2", 1000);
    other.work = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "gang", {this->tasks(2, 1, true)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(lost.running.size(), 1);
    const auto [task, run] = *lost.running.begin();
    lost.silent = true;
    lost.running.clear();
    lost.ended = {{1, task, run, target_view::ending::done, {}}};
    lost.last_end = 1;
    this->run_for(milliseconds(700));
    while (!other.running.empty())
        this->run_for(milliseconds(1));
    constexpr int held_back = 3;
    this->store.transactions_late = held_back;
    this->targets.add("t3", 1000).work = milliseconds(0);
    this->targets.tell_list();
    while (this->store.transactions_late == held_back)
        this->run_for(milliseconds(1));
    lost.silent = false;
    this->run_for(milliseconds(4000));
    EXPECT_EQ(this->state(first, "gang"), workflow_state::completed);
    EXPECT_EQ(this->targets.starts, 2);
    EXPECT_EQ(this->targets.running("gang"), 0);
    // The room of the places given up is free.
    this->submit(first, "next", {this->tasks(3, 1)});
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->targets.running("next"), 3);
}

// One member of a gang has told its end; the start of another was never confirmed. The order to
// start it used to be given again from the workflow's steps, which are dropped when it ends.
TEST_F(coordinator_late_ends_test,
       an_unconfirmed_start_is_not_repeated_after_its_workflow_has_ended)
{
    this->targets.add("t1", 1000).work = milliseconds(0);
    auto& unsure = this->targets.add("t2", 2000);
    unsure.work = milliseconds(0);
    unsure.loses_answer = [](const start_order& order) { return order.task.workflow == "gang"; };
    unsure.order_delay = milliseconds(150);
    auto& first = this->elect("vm-1");
    auto members = this->tasks(2, 1, true);
    members.max_per_target = 1;
    this->submit(first, "gang", {members});
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.running("gang"), 2);
    this->targets.end_all("t1", target_view::ending::done);
    this->run_for(milliseconds(130));
    ASSERT_EQ(this->state(first, "gang"), workflow_state::completed);
    // Its answer makes the target reachable again, and says nothing of the other order.
    this->submit(first, "other", {this->tasks(2, 1)});
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.running("gang"), 0);
    EXPECT_EQ(this->targets.starts, 4);
    EXPECT_TRUE(this->targets.breaches.empty()) << this->targets.breaches.front();
}

} // namespace
} // namespace verbenalever
