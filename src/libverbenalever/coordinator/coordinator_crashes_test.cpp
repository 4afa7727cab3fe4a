// Tasks under which targets crash; each case names the failure that it guards.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <string>

namespace verbenalever {
namespace {

class coordinator_crashes_test : public coordinator_fixture {
protected:
    /// Adds targets t0, t1, ... of four processors, whose tasks take @p task_duration.
    void add_targets(int count, milliseconds task_duration)
    {
        for (int number = 0; number < count; ++number)
            this->targets.add("t" + std::to_string(number), 4000).task_duration = task_duration;
    }

    /// Lets each start of a task of the workflow crash its target.
    void make_deadly(const std::string& workflow)
    {
        this->targets.crashes_on = [workflow](const start_order& order) {
            return order.task.workflow == workflow;
        };
    }
};

// A task that crashed each target that started it was started again without end.
TEST_F(coordinator_crashes_test, a_task_that_crashes_its_targets_is_given_up)
{
    this->add_targets(4, milliseconds(50));
    auto& first = this->elect("vm-1");
    this->make_deadly("deadly");
    std::vector<std::string> started_on;
    this->targets.on_start_at = [&started_on](const fake_targets::target& target) {
        started_on.push_back(target.report.name);
    };
    this->submit(first, "deadly", {this->tasks(1, 1)});
    this->run_for(milliseconds(6000));
    ASSERT_GE(started_on.size(), 2);
    EXPECT_NE(started_on[0], started_on[1]) << "the target may be at fault";
    EXPECT_EQ(this->state(first, "deadly"), workflow_state::failed);
    EXPECT_GE(this->targets.crash_count, 2);
    EXPECT_LE(this->targets.crash_count, 3);
}

// On an idle fleet the crashes of a task counted as the loss of a whole zone, since no other target
// was asked whether it is up: the task went on crashing targets.
TEST_F(coordinator_crashes_test, crashes_on_an_idle_fleet_are_not_taken_for_a_lost_zone)
{
    this->add_targets(12, milliseconds(0));
    auto& first = this->elect("vm-1");
    this->run_for(milliseconds(1500)); // the first polls of all targets are over
    this->make_deadly("deadly");
    for (const auto& [name, target] : this->targets.targets)
        target->loses_response = [](const start_order&) { return true; };
    this->submit(first, "deadly", {this->tasks(1, 1)});
    this->run_for(milliseconds(14'000));
    EXPECT_EQ(this->state(first, "deadly"), workflow_state::failed);
    EXPECT_LE(this->targets.crash_count, 4);
}

// A start that was sent to a target that was down already is no crash under its task: with one true
// crash in addition the task was given up.
TEST_F(coordinator_crashes_test, a_start_that_was_not_confirmed_does_not_count_in_full)
{
    auto& target = this->targets.add("t0", 4000);
    target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    target.unresponsive = true;
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(100));
    ASSERT_EQ(this->targets.start_count, 1);
    target.unresponsive = false;
    this->targets.add("t1", 4000).task_duration = milliseconds(0);
    this->targets.crashes_on = [this](const start_order&) {
        return this->targets.crash_count == 0;
    };
    this->targets.restart("t0");
    this->run_for(milliseconds(3000));
    EXPECT_EQ(this->targets.crash_count, 1);
    EXPECT_EQ(this->state(first, "w"), workflow_state::running);
    EXPECT_EQ(this->targets.running("w"), 1);
}

// The crash of a target must not be held against the other work that ran on it.
TEST_F(coordinator_crashes_test, work_that_ran_beside_a_task_that_crashes_targets_completes)
{
    this->add_targets(6, milliseconds(400));
    auto& first = this->elect("vm-1");
    this->make_deadly("deadly");
    for (int round = 0; round < 4; ++round) {
        for (int number = 0; number < 3; ++number)
            this->submit(first, "w" + std::to_string(round) + std::to_string(number),
                         {this->tasks(2, 1)}, "slow");
        if (round == 0)
            this->submit(first, "deadly", {this->tasks(1, 1)}, "slow");
        this->run_for(milliseconds(600));
    }
    this->run_for(milliseconds(6000));
    EXPECT_EQ(this->state(first, "deadly"), workflow_state::failed);
    EXPECT_LE(this->targets.crash_count, 3);
    for (int round = 0; round < 4; ++round) {
        for (int number = 0; number < 3; ++number)
            EXPECT_EQ(this->state(first, "w" + std::to_string(round) + std::to_string(number)),
                      workflow_state::completed);
    }
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// Each try of a gang counts once, whichever of its members crashes a target.
TEST_F(coordinator_crashes_test, a_gang_that_crashes_its_targets_is_given_up)
{
    this->add_targets(6, milliseconds(0));
    auto& first = this->elect("vm-1");
    this->targets.crashes_on = [](const start_order& order) {
        return order.task.workflow == "deadly" && order.task.index == order.run % 2;
    };
    this->submit(first, "deadly", {this->tasks(3, 3, true)});
    this->run_for(milliseconds(8000));
    EXPECT_EQ(this->state(first, "deadly"), workflow_state::failed);
    EXPECT_GE(this->targets.crash_count, 2);
    EXPECT_LE(this->targets.crash_count, 3);
}

// A new coordinator must not count from the start.
TEST_F(coordinator_crashes_test, crashes_count_over_a_change_of_coordinator)
{
    this->add_targets(4, milliseconds(50));
    auto* current = &this->elect("vm-1");
    this->make_deadly("deadly");
    this->submit(*current, "deadly", {this->tasks(1, 1)});
    for (int term = 2; term < 8; ++term) {
        const auto before = this->targets.crash_count;
        for (int waited = 0; waited < 20 && this->targets.crash_count == before; ++waited)
            this->run_for(milliseconds(50));
        this->run_for(milliseconds(200));
        this->kill(*current);
        current = &this->elect("vm-" + std::to_string(term));
    }
    this->run_for(milliseconds(5000));
    EXPECT_EQ(this->state(*current, "deadly"), workflow_state::failed);
    EXPECT_LE(this->targets.crash_count, 4);
}

// Targets that are lost with their zone are no task's doing.
TEST_F(coordinator_crashes_test, loss_of_a_zone_fails_no_work)
{
    for (int number = 0; number < 4; ++number) {
        this->targets.add("a" + std::to_string(number), 4000, "za").task_duration = milliseconds(0);
        this->targets.add("b" + std::to_string(number), 4000, "zb").task_duration = milliseconds(0);
    }
    auto& first = this->elect("vm-1");
    for (int number = 0; number < 8; ++number)
        this->submit(first, "w" + std::to_string(number), {this->tasks(2, 2)});
    this->run_for(milliseconds(600));
    for (int loss = 0; loss < 4; ++loss) {
        const std::string zone = loss % 2 == 0 ? "a" : "b";
        for (int number = 0; number < 4; ++number)
            this->targets.crash(zone + std::to_string(number), milliseconds(700));
        this->run_for(milliseconds(2500));
    }
    for (int number = 0; number < 8; ++number)
        EXPECT_EQ(this->state(first, "w" + std::to_string(number)), workflow_state::running);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// A target that comes back only after its runs were given up has crashed all the same.
TEST_F(coordinator_crashes_test, a_crash_counts_when_the_target_returns_late)
{
    this->add_targets(8, milliseconds(50));
    this->targets.crash_downtime = milliseconds(4000);
    auto& first = this->elect("vm-1");
    this->make_deadly("deadly");
    this->submit(first, "deadly", {this->tasks(1, 1)});
    this->run_for(milliseconds(16'000));
    EXPECT_EQ(this->state(first, "deadly"), workflow_state::failed);
    EXPECT_LE(this->targets.crash_count, 5);
}

} // namespace
} // namespace verbenalever
