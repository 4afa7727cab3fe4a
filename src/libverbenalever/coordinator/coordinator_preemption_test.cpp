// Preemption with `preemption: least`; each case names its load pattern.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

class coordinator_preemption_test : public coordinator_fixture {
protected:
    coordinator_preemption_test()
    {
        this->preemption = preemption_policy::least;
    }
};

// Load pattern: urgent work arrives again and again. The same batch task was stopped each time.
TEST_F(coordinator_preemption_test, a_task_that_was_stopped_three_times_keeps_its_run)
{
    this->targets.add("t1", 1000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "slow", {this->tasks(1, 1)}, "slow");
    for (int number = 0; number < 5; ++number) {
        this->run_for(milliseconds(200));
        const auto id = "urgent" + std::to_string(number);
        this->submit(first, id, {this->tasks(1, 1)});
        this->run_for(milliseconds(400));
        first.active_coordinator->cancel(id, [](call_outcome) {});
    }
    EXPECT_EQ(first.metrics.value("runs_reclaimed"), 3);
    EXPECT_EQ(first.metrics.value("stops_avoided_repeated"), 1);
    EXPECT_GT(first.metrics.value("preempted_core_ms"), 0);
}

// Load pattern: stops take longer than the rest of the runs. Runs were stopped shortly before they
// would have ended, and their work was done twice. Runs take 1.3 s, and urgent work arrives when
// they have lasted for 0.7 s.
TEST_F(coordinator_preemption_test, runs_that_end_within_the_time_of_a_stop_are_not_stopped)
{
    constexpr milliseconds run_time{1300};
    constexpr int cores = 12; // more than the runs after which their length is learned
    auto& target = this->targets.add("t1", std::int64_t{cores} * 1000);
    target.stop_delay = milliseconds(800);
    target.task_duration = run_time;
    auto& first = this->elect("vm-1");
    this->submit(first, "learned", {this->tasks(cores, 1)}, "slow");
    this->run_for(run_time + milliseconds(400));
    target.task_duration = milliseconds(0);
    this->submit(first, "stopped", {this->tasks(cores, 1)}, "slow");
    this->run_for(milliseconds(200));
    this->submit(first, "preemptor", {this->tasks(cores, 1)});
    this->run_for(milliseconds(1400));
    EXPECT_EQ(first.metrics.value("runs_reclaimed"), cores);
    for (const auto* id : {"stopped", "preemptor"})
        first.active_coordinator->cancel(id, [](call_outcome) {});
    this->run_for(milliseconds(1100));
    target.task_duration = run_time;
    this->submit(first, "slow", {this->tasks(cores, 1)}, "slow");
    this->run_for(milliseconds(700));
    this->submit(first, "urgent", {this->tasks(2, 1)});
    this->run_for(milliseconds(1000));
    EXPECT_EQ(this->targets.running("urgent"), 2);
    EXPECT_EQ(first.metrics.value("runs_reclaimed"), cores);
    EXPECT_EQ(first.metrics.value("stops_avoided_ending"), 2);
}

// Load pattern: a gang whose task needs the room of a large run, beside small ones that lose less
// work. The small ones were stopped as well.
TEST_F(coordinator_preemption_test, a_gang_stops_no_small_runs_beside_a_large_one)
{
    this->configuration->queues[1].latency_objective = milliseconds(20'000);
    this->configuration->queues.push_back({.name = "advised",
                                           .pool = "pool",
                                           .priority = 1,
                                           .latency_objective = milliseconds(20'000),
                                           .needs_advice = true,
                                           .advice_base_ms = 300});
    this->targets.add("t1", 64'000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    first.active_coordinator->advice_dispatch().add_vm(
        "vm-1", [](const advice_question&, milliseconds, const auto& done) {
            done({.answered = true, .granted = {{"t1", "ticket"}}, .valid_ms = 5000});
        });
    std::vector<step_spec> batch{this->tasks(2, 10), this->tasks(1, 44)};
    for (auto& step : batch)
        step.checkpointing = true;
    this->submit(first, "batch", batch, "slow");
    this->run_for(milliseconds(900));
    this->submit(first, "gang", {this->tasks(1, 40, true)}, "advised");
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.running("gang"), 1);
    EXPECT_EQ(this->targets.running("batch"), 2);
    EXPECT_EQ(first.metrics.value("stops_avoided_unneeded"), 2);
}

} // namespace
} // namespace verbenalever
