// Past use of teams: its effect on the order of waiting work, and how it outlives coordinators.

#include "scheduling/usage_history.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <string_view>

namespace verbenalever {
namespace {

constexpr const char* stored_key = "v/u/teams";
constexpr milliseconds half_life{3'600'000};

class coordinator_past_use_test : public coordinator_fixture {
protected:
    coordinator_past_use_test()
    {
        this->usage_half_life = half_life;
        this->past_use_store_interval = milliseconds(100);
        this->configuration->queues[0].latency_objective = milliseconds(2000);
        this->configuration->queues[0].stretch = 0;
        for (const auto* name : {"other", "filling", "a", "b", "c", "d"})
            this->configuration->teams.push_back(
                {.name = name, .keys = {}, .weight = 1, .limit = {}});
    }

    /// Store what "team" and each of five other teams have used, in core-seconds.
    void store_use(std::int64_t team, std::int64_t other)
    {
        usage_history history(half_life);
        for (const auto* name : {"team", "other", "a", "b", "c", "d"}) {
            const auto cores = std::string_view(name) == "team" ? team : other;
            history.add_run(name, cores * 1000, milliseconds(0));
            history.remove_run(name, cores * 1000, milliseconds(1000));
        }
        this->store.items[stored_key] = {
            stored_key, history.encode(milliseconds(1000), wall_microseconds() / 1000), 1, false};
    }

    /// Elect a process and fill its only target, of one core, until end_filling().
    process& elect_with_full_target()
    {
        this->targets.add("t1", 1000).task_duration = milliseconds(0);
        auto& only = this->elect("vm-1");
        this->submit(only, "filling", {this->tasks(1, 1)}, "urgent", "filling");
        this->run_for(milliseconds(200));
        EXPECT_EQ(this->targets.running("filling"), 1);
        return only;
    }

    void end_filling()
    {
        this->targets.end_all("t1", target_view::ending::done);
        this->run_for(milliseconds(300));
        EXPECT_EQ(this->targets.running("filling"), 0);
    }

    /// Elect a process with a full target and submit work of "team" and then of "other".
    /// @return the one that starts first when the target is free
    std::string first_of_heavy_and_light()
    {
        auto& only = this->elect_with_full_target();
        this->submit(only, "heavy", {this->tasks(1, 1)});
        this->submit(only, "light", {this->tasks(1, 1)}, "urgent", "other");
        this->end_filling();
        return this->targets.running("heavy") == 1 ? "heavy" : "light";
    }

    /// @return what the store has for the team in core-seconds, or -1
    double stored_use(std::string_view team)
    {
        usage_history history(half_life);
        if (!this->store.items.contains(stored_key) ||
            !history
                 .restore(this->store.items[stored_key].value, milliseconds(0),
                          wall_microseconds() / 1000)
                 .ok())
            return -1;
        for (const auto& one : history.largest(10)) {
            if (one.team == team)
                return one.core_seconds;
        }
        return -1;
    }
};

TEST_F(coordinator_past_use_test, work_of_a_heavy_past_user_comes_after_work_due_at_the_same_time)
{
    this->store_use(1000, 10);
    EXPECT_EQ(this->first_of_heavy_and_light(), "light");
    this->end_filling();
    EXPECT_EQ(this->targets.running("heavy"), 1);
}

TEST_F(coordinator_past_use_test, without_the_setting_nothing_is_shifted_or_stored)
{
    this->usage_half_life = milliseconds(0);
    this->store_use(1000, 10);
    EXPECT_EQ(this->first_of_heavy_and_light(), "heavy");
    EXPECT_EQ(this->store.items[stored_key].revision, 1);
}

TEST_F(coordinator_past_use_test, small_differences_change_nothing)
{
    this->store_use(140, 100);
    EXPECT_EQ(this->first_of_heavy_and_light(), "heavy");
}

TEST_F(coordinator_past_use_test, a_larger_weight_allows_more_use)
{
    this->configuration->teams[0].weight = 50;
    this->store_use(1000, 20);
    EXPECT_EQ(this->first_of_heavy_and_light(), "heavy");
}

TEST_F(coordinator_past_use_test, past_use_overrides_neither_priority_nor_lateness)
{
    this->store_use(1000, 10);
    auto& only = this->elect_with_full_target();
    this->submit(only, "less-urgent", {this->tasks(1, 1)}, "slow", "other");
    auto late = this->tasks(1, 1);
    late.estimated_ms = 4000;
    this->submit(only, "late", {late}, "urgent", "other");
    this->submit(only, "heavy", {this->tasks(1, 1)});
    for (const auto* next : {"heavy", "late", "less-urgent"}) {
        this->end_filling();
        EXPECT_EQ(this->targets.running(next), 1) << next;
    }
}

// A shift without a bound would let newer work of others go first for ever.
TEST_F(coordinator_past_use_test, work_due_later_than_the_bounded_shift_does_not_go_first)
{
    this->store_use(1000, 10);
    auto& only = this->elect_with_full_target();
    this->submit(only, "heavy", {this->tasks(1, 1)});
    this->run_for(milliseconds(1050)); // the greatest shift is half of 2 s
    this->submit(only, "light", {this->tasks(1, 1)}, "urgent", "other");
    this->end_filling();
    EXPECT_EQ(this->targets.running("heavy"), 1);
}

// The key of a waiting step has the shift that it was inserted with: if it were computed again for
// the removal, the step would stay in the set after its end.
TEST_F(coordinator_past_use_test, waiting_work_moves_when_the_shift_of_its_team_changes)
{
    this->store_use(1000, 10);
    auto& only = this->elect_with_full_target();
    this->submit(only, "heavy", {this->tasks(1, 1)});
    this->submit(only, "light", {this->tasks(1, 1)}, "urgent", "other");
    this->run_for(milliseconds(50));
    this->configuration->teams[0].weight = 100;
    this->run_for(milliseconds(500));
    this->end_filling();
    EXPECT_EQ(this->targets.running("heavy"), 1);
    this->configuration->teams[0].weight = 1;
    this->run_for(milliseconds(300));
    this->end_filling();
    EXPECT_EQ(this->targets.running("light"), 1);
    this->end_filling();
    for (const auto* id : {"filling", "heavy", "light"})
        EXPECT_EQ(this->state(only, id), workflow_state::completed) << id;
    EXPECT_TRUE(this->targets.violations.empty());
}

// Nothing but the store is left when all processes are killed.
TEST_F(coordinator_past_use_test, a_fleet_that_was_killed_whole_goes_on_from_the_stored_use)
{
    this->store_use(1000, 10);
    this->targets.add("t1", 20'000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 20)});
    this->run_for(milliseconds(800));
    const auto before = this->stored_use("team");
    EXPECT_GT(before, 1005);
    this->kill(first);
    auto& second = this->elect("vm-2");
    EXPECT_GT(second.metrics.value("team_past_use"), 1005);
    EXPECT_EQ(second.metrics.value("teams_shifted"), 1);
    this->run_for(milliseconds(400)); // the run is adopted and counted on
    EXPECT_GT(this->stored_use("team"), before + 2);
}

TEST_F(coordinator_past_use_test, a_successor_takes_over_the_order_of_waiting_work)
{
    this->store_use(1000, 10);
    auto& first = this->elect_with_full_target();
    this->submit(first, "heavy", {this->tasks(1, 1)});
    this->submit(first, "light", {this->tasks(1, 1)}, "urgent", "other");
    this->run_for(milliseconds(200));
    first.election.hand_over(milliseconds(5000));
    this->elect("vm-2");
    this->run_for(milliseconds(100));
    this->end_filling();
    EXPECT_EQ(this->targets.running("light"), 1);
    EXPECT_EQ(this->targets.running("heavy"), 0);
}

TEST_F(coordinator_past_use_test, an_idle_coordinator_writes_nothing)
{
    this->store_use(1000, 10);
    this->elect("vm-1");
    const auto commits = this->store.commit_count;
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->store.commit_count, commits);
}

TEST_F(coordinator_past_use_test, an_unreadable_value_is_logged_and_replaced_from_nothing)
{
    this->store.items[stored_key] = {stored_key, "\xc1 not a value", 1, false};
    testing::internal::CaptureStdout();
    this->elect_with_full_target();
    this->run_for(milliseconds(200));
    EXPECT_NE(testing::internal::GetCapturedStdout().find("past_use_not_loaded"),
              std::string::npos);
    EXPECT_GT(this->stored_use("filling"), 0);
}

// Use that is written while the stored one cannot be read would replace it.
TEST_F(coordinator_past_use_test, use_is_not_stored_before_the_stored_one_is_read)
{
    this->store_use(1000, 10);
    this->store.unreadable_key = stored_key;
    this->targets.add("t1", 20'000).task_duration = milliseconds(0);
    auto& only = this->elect("vm-1");
    this->submit(only, "w", {this->tasks(1, 20)});
    this->run_for(milliseconds(600));
    EXPECT_EQ(this->targets.running("w"), 1) << "work must not wait for the stored use";
    EXPECT_LT(this->stored_use("team"), 1001);
    this->store.unreadable_key.clear();
    this->run_for(milliseconds(600));
    EXPECT_GT(this->stored_use("team"), 1010);
    EXPECT_NEAR(this->stored_use("other"), 10, 0.1);
}

} // namespace
} // namespace verbenalever
