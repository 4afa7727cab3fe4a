// Limits of teams: what urgent work that waits for its team's limit keeps from other work.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <string>

namespace verbenalever {
namespace {

class coordinator_team_limits_test : public coordinator_fixture {
protected:
    /// Elect a process with one target, on which "before", less urgent work of the limited team,
    /// runs.
    process& elect_with_running_work(std::int64_t limit_cores, std::int64_t target_cores,
                                     std::uint32_t running_tasks)
    {
        this->configuration->teams[0].limit.processors_milli = limit_cores * 1000;
        this->targets.add("t1", target_cores * 1000).task_duration = milliseconds(0);
        auto& only = this->elect("vm-1");
        this->submit(only, "before", {this->tasks(running_tasks, 1)}, "slow");
        this->run_for(milliseconds(200));
        EXPECT_EQ(this->targets.running("before"), running_tasks);
        return only;
    }
};

// An urgent gang that exceeded its team's limit by itself kept all other work of the team from
// starting, and stopped what ran, for as long as it waited.
TEST_F(coordinator_team_limits_test, a_gang_above_its_teams_limit_holds_up_no_other_work)
{
    auto& only = this->elect_with_running_work(10, 64, 2);
    this->submit(only, "gang", {this->tasks(8, 3, true)});
    this->submit(only, "after", {this->tasks(2, 1)}, "slow");
    this->run_for(milliseconds(1200));
    EXPECT_EQ(this->targets.running("before"), 2);
    EXPECT_EQ(this->targets.running("after"), 2);
    EXPECT_EQ(this->targets.running("gang"), 0);
}

// The same for urgent tasks that no target can hold or has the label for: more of them than fit the
// limit were reserved for, although none can start.
TEST_F(coordinator_team_limits_test, tasks_that_suit_no_target_reserve_nothing_of_the_limit)
{
    auto& only = this->elect_with_running_work(10, 8, 1);
    this->submit(only, "too-wide", {this->tasks(4, 9)});
    auto labelled = this->tasks(20, 1);
    labelled.required_label = "absent";
    this->submit(only, "labelled", {labelled});
    this->submit(only, "slow", {this->tasks(2, 1)}, "slow");
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("slow"), 2);
    EXPECT_EQ(only.metrics.value("runs_reclaimed"), 0);
}

// A gang larger than all targets together cannot run either, whatever its team's limit.
TEST_F(coordinator_team_limits_test, a_gang_larger_than_the_fleet_reserves_nothing_of_the_limit)
{
    auto& only = this->elect_with_running_work(24, 8, 1);
    this->submit(only, "gang", {this->tasks(12, 2, true)});
    this->submit(only, "after", {this->tasks(2, 1)}, "slow");
    this->run_for(milliseconds(1200));
    EXPECT_EQ(this->targets.running("before"), 1);
    EXPECT_EQ(this->targets.running("after"), 2);
    EXPECT_EQ(only.metrics.value("runs_reclaimed"), 0);
}

// What does fit the limit keeps its precedence: less urgent runs make room for it.
TEST_F(coordinator_team_limits_test, a_gang_within_its_teams_limit_still_gets_room)
{
    auto& only = this->elect_with_running_work(10, 64, 10);
    this->submit(only, "gang", {this->tasks(3, 3, true)});
    this->run_for(milliseconds(1200));
    EXPECT_EQ(this->targets.running("gang"), 3);
    EXPECT_EQ(this->targets.running("before"), 1);
}

} // namespace
} // namespace verbenalever
