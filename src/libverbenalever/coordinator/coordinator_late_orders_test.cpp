// Orders that are executed late or by the next life of their target, and registrations out of
// order.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace verbenalever {
namespace {

class coordinator_late_orders_test : public coordinator_fixture {
protected:
    /// Remember the first start order, which its target receives late.
    void hold_first_start()
    {
        this->targets.on_start = [this](const start_order& order) {
            if (!this->held)
                this->held = order;
        };
        this->targets.on_start_authority = [this](const order_authority& authority) {
            if (!this->held_authority)
                this->held_authority = authority;
        };
    }

    /// Execute the held order on t1: the wire names only the target, not when it was born.
    void deliver_held_start()
    {
        const auto& report = this->targets.targets.at("t1")->report;
        this->targets.start(target_life{.name = "t1", .born_ms = report.born_ms},
                            *this->held_authority, *this->held, milliseconds(500),
                            [this](const order_result& result) { this->late_result = result.how; });
        this->run_for(milliseconds(50));
    }

    /// Submit the workflow "w" of one task and run the loop until its start is sent.
    void submit_until_started(process& to)
    {
        this->submit(to, "w", {this->tasks(1, 1)});
        while (this->targets.start_count == 0)
            this->run_for(milliseconds(1));
    }

    /// Restart t1 unnoticed, so that its next life starts "w", and run the loop until a poll shows
    /// the restart: the former life is dropped, and the task is held for the next one.
    process& start_in_an_unlisted_life()
    {
        this->targets.add("t1", 1000).task_duration = milliseconds(0);
        this->targets.executes_starts_for_former_lives = true;
        auto& first = this->elect("vm-1");
        this->targets.listed_born_ms["t1"] = 1;
        this->targets.restart("t1");
        this->submit_until_started(first);
        this->targets.add("t2", 1000).task_duration = milliseconds(0);
        this->targets.publish_targets();
        this->run_for(milliseconds(300));
        return first;
    }

    /// Submit workflows that fit nowhere, while transactions take 60 ms, so that ends and new
    /// placements are stored together.
    void submit_others(process& to)
    {
        this->store.commit_delay = milliseconds(60);
        for (int number = 0; number < 150; ++number) {
            this->submit(to, "other" + std::to_string(number), {this->tasks(1, 4)});
            this->run_for(milliseconds(10));
        }
    }

    std::optional<start_order> held;
    std::optional<order_authority> held_authority;
    order_result::outcome late_result = order_result::outcome::unknown;
};

// Liveness: a target whose clock was set back before it restarted must be used again.
TEST_F(coordinator_late_orders_test, a_target_with_an_earlier_start_time_is_used_again)
{
    auto& target = this->targets.add("t1", 1000);
    target.report.born_ms = 100;
    auto& first = this->elect("vm-1");
    this->run_for(milliseconds(300));
    target.report.born_ms = 48;
    this->targets.restart("t1"); // born 49, as if the clock had been set back
    this->run_for(milliseconds(700));
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->state(first, "w"), workflow_state::completed);
}

// The same, while the target does not answer for longer than its lease.
TEST_F(coordinator_late_orders_test, a_silent_target_with_an_earlier_start_time_is_used_again)
{
    auto& target = this->targets.add("t1", 1000);
    target.report.born_ms = 100;
    target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "v", {this->tasks(1, 1)});
    this->run_for(milliseconds(300));
    target.unresponsive = true;
    target.report.born_ms = 48;
    this->targets.restart("t1");
    this->run_for(milliseconds(3500));
    target.unresponsive = false;
    target.task_duration = milliseconds(20);
    this->run_for(milliseconds(1000));
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(1000));
    EXPECT_EQ(this->state(first, "w"), workflow_state::completed);
}

// A target has answered that it was restarted; until it is dropped (up to 200 ms later), the
// session still counts as reachable and grants leases, and the start would reach the next life.
TEST_F(coordinator_late_orders_test,
       no_start_is_sent_to_a_target_that_has_answered_that_it_restarted)
{
    auto& target = this->targets.add("t1", 2000);
    target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "running", {this->tasks(1, 1)});
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.running("running"), 1);
    int starts = 0;
    this->targets.on_start = [&starts](const start_order& order) {
        starts += order.task.workflow == "w" ? 1 : 0;
    };
    const auto placement_count = [this] {
        return std::ranges::count_if(this->store.items, [](const auto& item) {
            return item.first.starts_with("v/p/") && !item.second.removed;
        });
    };
    const auto before = placement_count();
    this->store.commit_delay = milliseconds(150);
    this->submit(first, "w", {this->tasks(1, 1)});
    while (placement_count() == before)
        this->run_for(milliseconds(1));
    this->run_for(milliseconds(135));
    ASSERT_EQ(starts, 0);
    // The platform's list does not show the restart yet; the waiting poll is answered.
    this->targets.listed_born_ms["t1"] = target.report.born_ms;
    this->targets.restart("t1");
    this->run_for(milliseconds(40));
    EXPECT_EQ(starts, 0);
}

// A successor reads that a target was restarted and gives the runs up at once, before it has polled
// (and so fenced) the new life, which may still execute a start of the earlier coordinator.
TEST_F(coordinator_late_orders_test,
       a_new_life_is_polled_before_the_runs_of_the_last_one_start_again)
{
    this->task_lease = milliseconds(8000);
    auto& target = this->targets.add("t1", 1000);
    target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->hold_first_start();
    target.unresponsive = true;
    this->submit_until_started(first);
    this->kill(first);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    this->targets.restart("t1");
    this->elect("vm-2");
    this->run_for(milliseconds(300));
    target.unresponsive = false;
    this->deliver_held_start();
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// A target executes a start after its lease has been given up and renewed for other runs.
TEST_F(coordinator_late_orders_test, a_start_that_is_executed_after_its_lease_does_not_run_twice)
{
    auto& target = this->targets.add("t1", 2000);
    target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->hold_first_start();
    target.unresponsive = true;
    this->submit_until_started(first);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    this->targets.publish_targets();
    this->run_for(milliseconds(5500));        // its run may also be one of an unnoticed life
    ASSERT_EQ(this->targets.running("w"), 1); // on t2
    target.unresponsive = false;
    this->run_for(milliseconds(700));
    this->submit(first, "other", {this->tasks(1, 1)});
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.running("other"), 1); // on t1, whose lease is renewed for it
    this->deliver_held_start();
    EXPECT_NE(this->late_result, order_result::outcome::done);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// A target lists at most 500 ends: a run that is in neither list may have ended.
TEST_F(coordinator_late_orders_test, a_run_whose_end_is_not_listed_yet_is_not_lost)
{
    auto& target = this->targets.add("t1", 1000);
    target.task_duration = milliseconds(0);
    this->targets.detect_duplicate_runs = false;
    std::map<task_name, int> starts;
    this->targets.on_start = [&starts](const start_order& order) { ++starts[order.task]; };
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(600, 0)});
    this->run_for(milliseconds(1500));
    ASSERT_EQ(this->targets.running("w"), 600);
    ASSERT_EQ(this->targets.start_count, 600);
    this->targets.listed_ends_limit = 500;
    // All end between two looks.
    target.polls_to_lose = 1;
    this->targets.end_all("t1", target_view::ending::done);
    target.task_duration = milliseconds(20);
    this->submit_others(first);
    std::size_t again = 0;
    for (const auto& [name, count] : starts)
        again += count > 1 ? 1 : 0;
    EXPECT_EQ(again, 0) << "started again although they have ended as done";
    EXPECT_EQ(this->state(first, "w"), workflow_state::completed);
}

// A target restarts under its name while a start is unanswered; its next life executes it.
TEST_F(coordinator_late_orders_test, a_start_that_the_next_life_executes_does_not_run_twice)
{
    auto& target = this->targets.add("t1", 1000);
    target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->hold_first_start();
    target.unresponsive = true;
    this->submit_until_started(first);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    this->targets.restart("t1"); // publishes the list too
    this->run_for(milliseconds(150));
    target.unresponsive = false;
    this->deliver_held_start();
    this->run_for(milliseconds(2500)); // the longest time for which a task is held
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
    EXPECT_EQ(this->targets.running("w"), 1);
}

// The same, and the start is executed between a poll and the stop: the task started elsewhere as
// soon as the stop was answered, while the run went on until it had stopped.
TEST_F(coordinator_late_orders_test, a_stopped_start_holds_its_task_until_a_poll_shows_its_end)
{
    auto& target = this->targets.add("t1", 1000);
    target.task_duration = milliseconds(0);
    target.stop_delay = milliseconds(300);
    auto& first = this->elect("vm-1");
    this->hold_first_start();
    target.unresponsive = true;
    this->submit_until_started(first);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    this->targets.restart("t1");
    this->run_for(milliseconds(150));
    bool delivered = false;
    timer delivery(this->loop, [this] {
        this->targets.start(target_life{.name = "t1", .born_ms = 2}, *this->held_authority,
                            *this->held, milliseconds(500), [](const order_result&) {});
    });
    this->targets.on_poll = [&](std::int64_t) {
        if (!target.unresponsive && !std::exchange(delivered, true))
            delivery.start_once(milliseconds(0));
    };
    target.unresponsive = false;
    this->run_for(milliseconds(1500));
    ASSERT_TRUE(delivered);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
    EXPECT_EQ(this->targets.running("w"), 1);
}

// A successor polls a target that cannot list all its ends at a time: tasks whose ends were not
// among the first ones started again although they had ended as done.
TEST_F(coordinator_late_orders_test, a_successor_waits_for_all_ends_of_a_target)
{
    this->targets.add("t1", 1000).task_duration = milliseconds(0);
    this->targets.detect_duplicate_runs = false;
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(600, 0)});
    this->run_for(milliseconds(1500));
    ASSERT_EQ(this->targets.running("w"), 600);
    this->targets.targets["t1"]->polls_to_lose = 1;
    this->kill(first);
    this->targets.listed_ends_limit = 500;
    this->targets.end_all("t1", target_view::ending::done);
    auto& second = this->elect("vm-2");
    this->submit_others(second);
    EXPECT_EQ(this->targets.start_count, 600);
    EXPECT_EQ(this->state(second, "w"), workflow_state::completed);
}

// A target restarts unnoticed; its next life executes and confirms a start, which must not run
// twice when the restart is noticed.
TEST_F(coordinator_late_orders_test, a_start_that_the_next_life_confirms_does_not_run_twice)
{
    this->start_in_an_unlisted_life();
    this->targets.listed_born_ms.clear();
    this->targets.publish_targets();
    this->run_for(milliseconds(500));
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
    EXPECT_EQ(this->targets.running("w"), 1);
}

// The same, and the coordinator is replaced before the next life is listed: its successor did not
// know that the task was held for that life, and started it elsewhere at once.
TEST_F(coordinator_late_orders_test, a_successor_waits_for_the_next_life_that_a_task_is_held_for)
{
    auto& first = this->start_in_an_unlisted_life();
    this->kill(first);
    this->elect("vm-2");
    this->run_for(milliseconds(300));
    this->targets.listed_born_ms.clear();
    this->targets.publish_targets();
    this->run_for(milliseconds(800));
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
    EXPECT_EQ(this->targets.running("w"), 1);
}

} // namespace
} // namespace verbenalever
