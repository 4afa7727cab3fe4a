// What counts as a crash under a task in unusual orders of events, and the bound on the starts of a
// task that crashes its targets.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>

namespace verbenalever {
namespace {

class coordinator_crash_evidence_test : public coordinator_fixture {
protected:
    void add_targets(int count, milliseconds task_duration, bool own_zones = true)
    {
        for (int number = 0; number < count; ++number)
            this->targets
                .add("t" + std::to_string(number), 4000,
                     own_zones ? "z" + std::to_string(number) : "z")
                .task_duration = task_duration;
    }

    std::string target_of(const std::string& workflow)
    {
        for (const auto& [name, target] : this->targets.targets) {
            for (const auto& [task, run] : target->running) {
                if (task.workflow == workflow)
                    return name;
            }
        }
        return {};
    }

    std::int64_t start_count_of(const std::string& workflow)
    {
        return this->starts[workflow];
    }

    void count_starts()
    {
        this->targets.on_start = [this](const start_order& order) {
            this->starts[order.task.workflow] =
                std::max(this->starts[order.task.workflow], order.run);
        };
    }

    std::map<std::string, std::int64_t> starts;
};

// A task that crashes its target 1.2 s after its start, on targets that need longer than the lease
// to return, was never counted and went on crashing targets.
TEST_F(coordinator_crash_evidence_test,
       a_task_that_crashes_its_targets_late_is_given_up_if_they_return_late)
{
    this->add_targets(6, milliseconds(0));
    this->count_starts();
    auto& first = this->elect("vm-1");
    this->submit(first, "deadly", {this->tasks(1, 1)});
    int crashes = 0;
    const auto until = boot_time() + milliseconds(60'000);
    while (boot_time() < until && crashes < 9 &&
           this->state(first, "deadly") != workflow_state::failed) {
        this->run_for(milliseconds(50));
        const auto on = this->target_of("deadly");
        if (on.empty())
            continue;
        this->run_for(milliseconds(1200));
        if (this->target_of("deadly") != on)
            continue;
        this->targets.crash(on, milliseconds(3000));
        ++crashes;
    }
    EXPECT_EQ(this->state(first, "deadly"), workflow_state::failed);
    EXPECT_LE(crashes, 5) << "at most two starts after three crashes";
}

// A run that had been stopped left the list of suspects, so that its neighbour became the sole one.
TEST_F(coordinator_crash_evidence_test,
       a_run_that_was_stopped_still_makes_its_neighbour_one_of_several)
{
    this->add_targets(1, milliseconds(0));
    auto& target = *this->targets.targets.at("t0");
    target.stop_delay = milliseconds(100);
    auto& first = this->elect("vm-1");
    testing::internal::CaptureStdout();
    this->submit(first, "deadly", {this->tasks(1, 1)});
    this->submit(first, "sound", {this->tasks(1, 1)});
    for (int waited = 0; waited < 100 && this->targets.running("sound") == 0; ++waited)
        this->run_for(milliseconds(2));
    this->run_for(milliseconds(20));
    first.active_coordinator->cancel("deadly", [](call_outcome) {});
    this->run_for(milliseconds(30));
    EXPECT_EQ(this->targets.running("deadly"), 1U) << "its stop takes 100 ms";
    this->targets.crash("t0", milliseconds(500));
    this->run_for(milliseconds(1500));
    const auto log = testing::internal::GetCapturedStdout();
    EXPECT_EQ(log.find(R"("evidence":"sole_suspect")"), std::string::npos) << log;
}

// The tasks of a deadly workflow that has just been given up take their neighbours with them.
TEST_F(coordinator_crash_evidence_test,
       sound_work_beside_a_workflow_that_is_cancelled_does_not_fail)
{
    this->add_targets(3, milliseconds(0));
    for (const auto& [name, target] : this->targets.targets)
        target->stop_delay = milliseconds(100);
    auto& first = this->elect("vm-1");
    this->submit(first, "sound", {this->tasks(1, 1)});
    for (int loss = 0; loss < 2; ++loss) {
        for (int waited = 0; waited < 2000 && this->targets.running("sound") == 0; ++waited)
            this->run_for(milliseconds(2));
        const auto on = this->target_of("sound");
        ASSERT_FALSE(on.empty());
        for (int number = 0; number < 6; ++number)
            this->submit(first, "deadly" + std::to_string(loss) + std::to_string(number),
                         {this->tasks(1, 1)});
        this->run_for(milliseconds(60));
        this->targets.crash(on, milliseconds(500));
        this->run_for(milliseconds(10));
        for (int number = 0; number < 6; ++number)
            first.active_coordinator->cancel(
                "deadly" + std::to_string(loss) + std::to_string(number), [](call_outcome) {});
        this->run_for(milliseconds(1500));
    }
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->state(first, "sound"), workflow_state::running);
}

// On a single target the first crash, of an idle target, is unconfirmed: five more follow.
TEST_F(coordinator_crash_evidence_test, a_deadly_task_of_one_idle_target_has_five_starts_at_most)
{
    this->add_targets(1, milliseconds(0));
    this->count_starts();
    auto& first = this->elect("vm-1");
    this->run_for(milliseconds(1500)); // no poll from now on
    this->targets.targets.at("t0")->loses_response = [](const start_order&) { return true; };
    this->targets.crashes_on = [](const start_order&) { return true; };
    this->submit(first, "deadly", {this->tasks(1, 1)});
    this->run_for(milliseconds(20'000));
    EXPECT_EQ(this->state(first, "deadly"), workflow_state::failed);
    EXPECT_LE(this->targets.crash_count, 5);
}

// Each change of coordinator before the crash is noticed makes the crash an unconfirmed one.
TEST_F(coordinator_crash_evidence_test,
       a_deadly_task_is_given_up_though_coordinators_are_killed_each_time)
{
    this->add_targets(6, milliseconds(0));
    this->targets.crash_downtime = milliseconds(300);
    this->count_starts();
    auto* current = &this->elect("vm-1");
    this->targets.crashes_on = [](const start_order&) { return true; };
    this->submit(*current, "deadly", {this->tasks(1, 1)});
    for (int term = 2; term < 12; ++term) {
        const auto before = this->targets.start_count;
        for (int waited = 0; waited < 1500 && this->targets.start_count == before; ++waited)
            this->run_for(milliseconds(2));
        this->run_for(milliseconds(5));
        if (this->state(*current, "deadly") == workflow_state::failed)
            break;
        this->kill(*current);
        this->run_for(milliseconds(50));
        current = &this->elect("vm-" + std::to_string(term));
    }
    EXPECT_LE(this->targets.crash_count, 5);
    EXPECT_EQ(this->state(*current, "deadly"), workflow_state::failed);
}

// A coordinator did not count the loss of targets that were leaving, but its evidence stayed in the
// store: its successor failed a job under which no target had crashed.
TEST_F(coordinator_crash_evidence_test,
       a_successor_does_not_count_losses_that_its_predecessor_discarded)
{
    this->add_targets(5, milliseconds(0));
    auto* current = &this->elect("vm-1");
    this->submit(*current, "w", {this->tasks(1, 1)});
    for (int loss = 0; loss < 3; ++loss) {
        for (int waited = 0; waited < 3000 && this->targets.running("w") == 0; ++waited)
            this->run_for(milliseconds(2));
        const auto on = this->target_of("w");
        ASSERT_FALSE(on.empty());
        auto& target = *this->targets.targets.at(on);
        this->run_for(milliseconds(20));
        target.unresponsive = true;        // cut off; it runs on until the lease has ended
        this->run_for(milliseconds(1300)); // the coordinator has noticed it
        target.report.leaving = true;
        this->targets.publish_targets();
        this->run_for(milliseconds(1500));
        target.unresponsive = false;
        this->targets.restart(on);
    }
    for (const auto& [name, target] : this->targets.targets)
        target->report.leaving = false;
    this->targets.publish_targets();
    this->run_for(milliseconds(1000));
    ASSERT_EQ(this->state(*current, "w"), workflow_state::running);
    ASSERT_EQ(this->targets.running("w"), 1U);
    this->kill(*current);
    current = &this->elect("vm-2");
    this->run_for(milliseconds(2000));
    EXPECT_EQ(this->state(*current, "w"), workflow_state::running);
}

// Crashes 0.9 s after the start count as just after it, since a poll waits for a second.
TEST_F(coordinator_crash_evidence_test,
       a_long_task_survives_two_crashes_almost_a_second_after_its_starts)
{
    this->add_targets(4, milliseconds(0));
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)}, "slow");
    for (int loss = 0; loss < 2; ++loss) {
        for (int waited = 0; waited < 3000 && this->targets.running("w") == 0; ++waited)
            this->run_for(milliseconds(2));
        const auto on = this->target_of("w");
        ASSERT_FALSE(on.empty());
        this->run_for(milliseconds(900));
        this->targets.crash(on, milliseconds(700));
        this->run_for(milliseconds(1200));
    }
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->state(first, "w"), workflow_state::running);
}

// A deadly run that was preempted before the crash left the list of suspects, so that its neighbour
// became the sole one.
TEST_F(coordinator_crash_evidence_test, a_preempted_run_still_makes_its_neighbour_one_of_several)
{
    this->add_targets(1, milliseconds(0));
    auto& target = *this->targets.targets.at("t0");
    target.stop_delay = milliseconds(100);
    auto& first = this->elect("vm-1");
    testing::internal::CaptureStdout();
    this->submit(first, "deadly", {this->tasks(1, 2)}, "slow");
    this->submit(first, "sound", {this->tasks(1, 2)});
    for (int waited = 0; waited < 100 && this->targets.running("sound") == 0; ++waited)
        this->run_for(milliseconds(2));
    this->run_for(milliseconds(10));
    this->submit(first, "urgent", {this->tasks(1, 2)});
    for (int waited = 0; waited < 100 && first.metrics.value("runs_reclaimed") == 0; ++waited)
        this->run_for(milliseconds(2));
    EXPECT_EQ(first.metrics.value("runs_reclaimed"), 1);
    this->run_for(milliseconds(10));
    EXPECT_EQ(this->targets.running("deadly"), 1U) << "its stop takes 100 ms";
    this->targets.crash("t0", milliseconds(500));
    this->run_for(milliseconds(1500));
    const auto log = testing::internal::GetCapturedStdout();
    EXPECT_EQ(log.find(R"("evidence":"sole_suspect")"), std::string::npos) << log;
}

// With three silent targets of a zone at a change of coordinator, none of them counted, whatever
// the rest of the zone showed, and the evidence was withdrawn for good.
TEST_F(coordinator_crash_evidence_test,
       inherited_losses_at_different_times_are_not_the_loss_of_a_zone)
{
    for (int number = 0; number < 24; ++number)
        this->targets.add("t" + std::to_string(number), 4000, "z").task_duration = milliseconds(0);
    auto* current = &this->elect("vm-1");
    testing::internal::CaptureStdout();
    this->targets.crash_downtime = milliseconds(3500);
    this->targets.crashes_on = [](const start_order& order) {
        return order.task.workflow.starts_with("deadly");
    };
    for (int number = 0; number < 4; ++number) {
        this->submit(*current, "deadly" + std::to_string(number), {this->tasks(1, 3)});
        this->run_for(milliseconds(500));
    }
    const auto crashes = this->targets.crash_count;
    this->kill(*current);
    current = &this->elect("vm-2");
    this->run_for(milliseconds(3500));
    const auto log = testing::internal::GetCapturedStdout();
    EXPECT_GE(crashes, 3);
    EXPECT_EQ(log.find("crash_not_counted"), std::string::npos) << log;
}

// Each coordinator is killed just after the start.
TEST_F(coordinator_crash_evidence_test,
       a_deadly_task_is_given_up_though_no_coordinator_sees_its_crash)
{
    this->add_targets(8, milliseconds(0));
    auto* current = &this->elect("vm-1");
    this->targets.crashes_on = [](const start_order&) { return true; };
    this->submit(*current, "deadly", {this->tasks(1, 1)});
    for (int term = 2; term < 12; ++term) {
        const auto before = this->targets.start_count;
        for (int waited = 0; waited < 6000 && this->targets.start_count == before; ++waited) {
            this->run_for(milliseconds(1));
            if (this->state(*current, "deadly") == workflow_state::failed)
                break;
        }
        if (this->state(*current, "deadly") == workflow_state::failed)
            break;
        this->kill(*current);
        this->run_for(milliseconds(700)); // the target has crashed and is back
        this->processes.push_back(std::make_unique<process>(
            this->loop, this->store, this->targets, this->targets, this->configuration, this->log,
            "vm-" + std::to_string(term)));
        this->processes.back()->task_lease = this->task_lease;
        this->processes.back()->longest_task_lease = this->longest_task_lease;
        this->processes.back()->unanswered_start_limit = this->unanswered_start_limit;
        for (int waited = 0; waited < 1000 && !this->processes.back()->active_coordinator; ++waited)
            this->run_for(milliseconds(1));
        current = this->processes.back().get();
        ASSERT_NE(current->active_coordinator, nullptr);
    }
    EXPECT_LE(this->targets.crash_count, 5);
    EXPECT_EQ(this->state(*current, "deadly"), workflow_state::failed);
}

// A task that crashes its targets late, beside long runs, was a bystander each time.
TEST_F(coordinator_crash_evidence_test,
       a_task_that_crashes_its_targets_late_beside_others_is_given_up)
{
    this->add_targets(3, milliseconds(0));
    auto& first = this->elect("vm-1");
    for (int number = 0; number < 6; ++number)
        this->submit(first, "sound" + std::to_string(number), {this->tasks(1, 1)});
    this->run_for(milliseconds(1000));
    this->submit(first, "deadly", {this->tasks(1, 1)});
    int crashes = 0;
    const auto until = boot_time() + milliseconds(45'000);
    while (boot_time() < until && crashes < 9 &&
           this->state(first, "deadly") != workflow_state::failed) {
        this->run_for(milliseconds(50));
        const auto on = this->target_of("deadly");
        if (on.empty())
            continue;
        this->run_for(milliseconds(1500));
        if (this->target_of("deadly") != on)
            continue;
        this->targets.crash(on, milliseconds(700));
        ++crashes;
    }
    EXPECT_EQ(this->state(first, "deadly"), workflow_state::failed);
    EXPECT_LE(crashes, 5);
    for (int number = 0; number < 6; ++number)
        EXPECT_EQ(this->state(first, "sound" + std::to_string(number)), workflow_state::running)
            << number;
}

} // namespace
} // namespace verbenalever
