// Losses of targets that say nothing about a task: none of them may fail its workflow.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <string>

namespace verbenalever {
namespace {

class coordinator_verdicts_test : public coordinator_fixture {
protected:
    /// Losses in each case: more than the crashes after which a task is given up.
    static constexpr int losses = 5;

    /// Makes a target silent while it runs on, for longer than the lease of its runs, and restarts
    /// it then.
    void restart_behind_cut(const std::string& name)
    {
        this->targets.targets.at(name)->unresponsive = true;
        this->run_for(milliseconds(2200));
        ASSERT_EQ(this->targets.running("w"), 0U) << "the lease has ended";
        this->targets.targets.at(name)->unresponsive = false;
        this->targets.restart(name);
    }
};

// A run that was preempted, and whose end was not read before its target crashed, counted as a
// crash under its task: after two of them a job that had never failed was shown as failed.
TEST_F(coordinator_verdicts_test, a_crash_after_a_run_was_stopped_does_not_count_against_its_task)
{
    auto& target = this->targets.add("t0", 4000);
    target.task_duration = milliseconds(0);
    target.stop_delay = milliseconds(20);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 4)}, "slow");
    for (int loss = 0; loss < losses; ++loss) {
        // Nothing else starts beside it at first once a target was lost.
        this->run_for(milliseconds(loss == 0 ? 150 : 900));
        ASSERT_EQ(this->targets.running("w"), 1U) << loss;
        const auto id = "urgent" + std::to_string(loss);
        const auto stopped_before = first.metrics.value("runs_reclaimed");
        this->submit(first, id, {this->tasks(1, 4)});
        for (int waited = 0;
             waited < 250 && first.metrics.value("runs_reclaimed") == stopped_before; ++waited)
            this->run_for(milliseconds(2));
        this->run_for(milliseconds(5)); // the stop is answered
        target.unresponsive = true;
        this->run_for(milliseconds(30));
        ASSERT_EQ(this->targets.running("w"), 0U) << "the stop was executed";
        first.active_coordinator->cancel(id, [](call_outcome) {});
        target.unresponsive = false;
        this->targets.restart("t0");
    }
    this->run_for(milliseconds(1000));
    EXPECT_EQ(this->state(first, "w"), workflow_state::running);
    EXPECT_EQ(this->targets.running("w"), 1U);
}

// A successor counted each placement on a target that was restarted, however its run had ended.
TEST_F(coordinator_verdicts_test, runs_that_ended_before_a_change_of_coordinator_do_not_count)
{
    this->targets.add("t0", 4000).task_duration = milliseconds(0);
    auto* current = &this->elect("vm-1");
    this->submit(*current, "w", {this->tasks(1, 1)});
    for (int loss = 0; loss < losses; ++loss) {
        this->run_for(milliseconds(500));
        ASSERT_EQ(this->targets.running("w"), 1U) << loss;
        this->kill(*current);
        this->run_for(milliseconds(2200));
        ASSERT_EQ(this->targets.running("w"), 0U) << "the lease has ended";
        this->targets.restart("t0");
        current = &this->elect("vm-" + std::to_string(loss + 2));
        this->run_for(milliseconds(1000));
    }
    EXPECT_EQ(this->state(*current, "w"), workflow_state::running);
    EXPECT_EQ(this->targets.running("w"), 1U);
}

// A successor counted a crash for each run of a task that its predecessor had placed, though only
// the last one can have been there when all targets restarted.
TEST_F(coordinator_verdicts_test, of_the_runs_of_a_task_before_a_change_of_coordinator_one_counts)
{
    constexpr int runs = 4;
    for (int number = 0; number < 3 * runs; ++number)
        this->targets.add("t" + std::to_string(number), 1000, "z" + std::to_string(number))
            .task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    for (int run = 1; run <= runs; ++run) {
        // A run that goes on keeps the placements that are stored with its own.
        this->submit(first, "beside" + std::to_string(run), {this->tasks(1, 1)});
        this->run_for(milliseconds(120));
        ASSERT_EQ(this->targets.running("w"), 1U) << run;
        for (const auto& [name, target] : this->targets.targets) {
            if (run < runs && target->running.begin() != target->running.end() &&
                target->running.begin()->first.workflow == "w") {
                this->submit(first, "with" + std::to_string(run), {this->tasks(1, 1)});
                this->targets.end_all(name, target_view::ending::stopped);
                break;
            }
        }
    }
    this->kill(first);
    for (const auto& [name, target] : this->targets.targets)
        this->targets.restart(name);
    auto& second = this->elect("vm-2");
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->state(second, "w"), workflow_state::running);
    EXPECT_LE(second.metrics.value("crashed_runs_unanswered"), 1 + 2 * runs) << "one for each task";
}

// A target that was cut off, and restarted after the lease of its runs had ended, counted as
// crashed under them.
TEST_F(coordinator_verdicts_test, a_restart_behind_a_cut_does_not_count_against_ended_runs)
{
    this->targets.add("t0", 4000, "za").task_duration = milliseconds(0);
    this->targets.add("t1", 4000, "zb").task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 4)});
    for (int loss = 0; loss < losses; ++loss) {
        this->run_for(milliseconds(1500));
        ASSERT_EQ(this->targets.running("w"), 1U) << loss;
        const std::string on = this->targets.targets.at("t0")->running.empty() ? "t1" : "t0";
        const std::string other = on == "t0" ? "t1" : "t0";
        this->targets.targets.at(other)->unresponsive = true;
        this->restart_behind_cut(on);
        this->targets.targets.at(other)->unresponsive = false;
    }
    this->run_for(milliseconds(2000));
    EXPECT_EQ(this->state(first, "w"), workflow_state::running);
    EXPECT_EQ(this->targets.running("w"), 1U);
}

// A sound task that takes long was given up after three crashes of targets under it, each long
// after its start.
TEST_F(coordinator_verdicts_test, a_long_task_survives_three_crashes_late_in_its_runs)
{
    for (int number = 0; number < 4; ++number)
        this->targets.add("t" + std::to_string(number), 4000, "z" + std::to_string(number))
            .task_duration = milliseconds(4000);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    for (int loss = 0; loss < 3; ++loss) {
        this->run_for(milliseconds(1500));
        ASSERT_EQ(this->targets.running("w"), 1U) << loss;
        for (const auto& [name, target] : this->targets.targets) {
            if (!target->running.empty())
                this->targets.crash(name, milliseconds(700));
        }
        this->run_for(milliseconds(1500));
    }
    this->run_for(milliseconds(6000));
    EXPECT_EQ(this->state(first, "w"), workflow_state::completed);
}

// A run counted as just started when a new coordinator had just found it.
TEST_F(coordinator_verdicts_test, a_crash_just_after_a_change_of_coordinator_does_not_count_in_full)
{
    for (int number = 0; number < 4; ++number)
        this->targets.add("t" + std::to_string(number), 4000, "z" + std::to_string(number))
            .task_duration = milliseconds(0);
    auto* current = &this->elect("vm-0");
    this->submit(*current, "w", {this->tasks(1, 1)});
    for (int loss = 0; loss < 3; ++loss) {
        this->run_for(milliseconds(1000));
        ASSERT_EQ(this->targets.running("w"), 1U) << loss;
        this->kill(*current);
        current = &this->elect("vm-" + std::to_string(loss + 1));
        for (const auto& [name, target] : this->targets.targets) {
            if (!target->running.empty())
                this->targets.crash(name, milliseconds(700));
        }
        this->run_for(milliseconds(1500));
    }
    EXPECT_EQ(this->state(*current, "w"), workflow_state::running);
}

// A start that the next life of its target had executed counted as a crash of the former one, under
// which the task had never run.
TEST_F(coordinator_verdicts_test, a_start_executed_by_the_next_life_does_not_count)
{
    this->targets.clocks_restart = true;
    this->targets.executes_starts_for_former_lives = true;
    for (int number = 0; number < losses; ++number)
        this->targets.add("t" + std::to_string(number), 4000, "z" + std::to_string(number))
            .task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->run_for(milliseconds(1500)); // no poll from now on
    for (const auto& [name, target] : this->targets.targets) {
        this->targets.listed_born_ms[name] = target->report.born_ms;
        this->targets.restart(name);
    }
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(12'000));
    EXPECT_GE(this->targets.start_count, 2);
    EXPECT_EQ(first.metrics.value("tasks_given_up"), 0);
    EXPECT_EQ(this->state(first, "w"), workflow_state::running);
}

// Two crashes just after starts failed a sound task, though its run between them had gone on.
TEST_F(coordinator_verdicts_test, a_run_between_two_crashes_shows_that_its_task_is_sound)
{
    for (int number = 0; number < 4; ++number)
        this->targets.add("t" + std::to_string(number), 4000, "z" + std::to_string(number))
            .task_duration = milliseconds(0);
    auto* current = &this->elect("vm-0");
    this->submit(*current, "w", {this->tasks(1, 1)});
    for (int loss = 0; loss < 3; ++loss) {
        for (int waited = 0; waited < 3000 && this->targets.running("w") == 0; ++waited)
            this->run_for(milliseconds(2));
        this->run_for(milliseconds(20)); // the start is confirmed
        for (const auto& [name, target] : this->targets.targets) {
            if (!target->running.empty())
                this->targets.crash(name, milliseconds(700));
        }
        for (int waited = 0; waited < 3000 && this->targets.running("w") == 0; ++waited)
            this->run_for(milliseconds(2));
        ASSERT_EQ(this->targets.running("w"), 1U) << loss;
        this->run_for(milliseconds(2200)); // polls show it
        if (loss == 1) {                   // the successor knows this too
            this->kill(*current);
            current = &this->elect("vm-1");
            this->run_for(milliseconds(1000));
        }
        for (const auto& [name, target] : this->targets.targets) {
            if (!target->running.empty())
                this->targets.end_all(name, target_view::ending::stopped);
        }
    }
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->state(*current, "w"), workflow_state::running);
    EXPECT_EQ(this->targets.running("w"), 1U);
}

// A coordinator that was killed took the cause of a job's failure with it.
TEST_F(coordinator_verdicts_test, the_record_of_a_failed_workflow_has_the_reason)
{
    auto& target = this->targets.add("t0", 4000);
    target.fails_all_tasks = true;
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(8000));
    ASSERT_EQ(this->state(first, "w"), workflow_state::failed);
    this->kill(first);
    testing::internal::CaptureStdout();
    this->elect("vm-2");
    const auto log = testing::internal::GetCapturedStdout();
    EXPECT_NE(log.find(R"("event":"workflow_failed_earlier","workflow":"w")"), std::string::npos);
    EXPECT_NE(log.find("has failed in runs 1, 2, 3"), std::string::npos) << log;
}

} // namespace
} // namespace verbenalever
