#include "coordinator/preemption_plan.h"

#include "coordinator/fleet_target.h"
#include "coordinator/free_capacity_index.h"
#include "coordinator/target_session.h"
#include "coordinator/workflow.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace verbenalever {
namespace {

resources cores_of(std::int64_t count)
{
    return {.processors_milli = count * 1000};
}

using runs_by_plan = std::vector<std::vector<std::uint32_t>>;

/// A target that is full of batch runs; each is the only one of its step, which is its number.
class preemption_plan_test : public testing::Test {
protected:
    void add_run(std::int64_t count, milliseconds age)
    {
        const auto number = static_cast<std::uint32_t>(this->target.tasks.size());
        this->batch.record.spec.steps.push_back({.count = 1, .need = cores_of(count)});
        this->batch.steps.emplace_back().tasks.resize(1);
        this->target.report.capacity += cores_of(count);
        auto& placed =
            this->target.add_run({.workflow = "batch", .step = number},
                                 {.owner = &this->batch, .need = cores_of(count), .started = true});
        placed.started_at = boot_time() - age;
    }

    std::vector<preemption_plan> plan(std::int64_t count, std::uint32_t tasks,
                                      preemption_policy policy)
    {
        return plan_preemptions(this->target, cores_of(count),
                                preemptible_runs(this->target, {.avoidance = &this->avoidance}),
                                tasks, policy);
    }

    /// @return the numbers of the runs of each plan
    static runs_by_plan numbers(const std::vector<preemption_plan>& of)
    {
        runs_by_plan found;
        for (const auto& plan : of) {
            auto& runs = found.emplace_back();
            for (const auto& run : plan.runs)
                runs.push_back(run.task.step);
        }
        return found;
    }

    static std::vector<std::uint32_t> all_numbers(const std::vector<preemption_plan>& of)
    {
        std::vector<std::uint32_t> all;
        for (const auto& runs : numbers(of))
            all.insert(all.end(), runs.begin(), runs.end());
        return all;
    }

    workflow batch{.record = {.queue = "batch"}, .priority = 2};
    free_capacity_index free_targets;
    fleet_target target{target_report{.name = "t1", .born_ms = 1}, 1, this->free_targets};
    stop_avoidance::length_models lengths;
    stop_avoidance avoidance{this->lengths};
};

// Small runs that are not enough were stopped before a large run that is enough alone. One that a
// task does not need must not be lost for the next task: it loses least work.
TEST_F(preemption_plan_test, a_run_that_a_plan_does_not_need_is_used_by_the_next)
{
    this->add_run(2, milliseconds(10));
    this->add_run(4, milliseconds(50));
    this->add_run(2, milliseconds(1000));
    EXPECT_EQ(numbers(this->plan(4, 1, preemption_policy::any)), (runs_by_plan{{0, 1}}));
    const auto plans = this->plan(4, 2, preemption_policy::least);
    EXPECT_EQ(numbers(plans), (runs_by_plan{{1}, {0, 2}}));
    EXPECT_EQ(plans[0].lost_work, plans[0].runs[0].lost_work);
    EXPECT_EQ(plans[0].unneeded, 1);
    EXPECT_EQ(plans[1].unneeded, 0);
}

// Stops for a team's limit count the capacity of runs on all targets.
TEST_F(preemption_plan_test, runs_for_a_limit_are_pruned_only_with_the_setting)
{
    for (const auto count : {1, 2, 4})
        this->add_run(count, milliseconds(10 * count));
    const auto runs = preemptible_runs(this->target, {});
    EXPECT_EQ(choose_runs(runs, cores_of(4), preemption_policy::any).runs.size(), 3);
    const auto chosen = choose_runs(runs, cores_of(4), preemption_policy::least);
    EXPECT_EQ(chosen.runs.size(), 1);
    EXPECT_EQ(chosen.unneeded, 2);
}

// With `any`, plans are as before: the runs in the order of lost work, until each task fits. With
// `least`, as many tasks fit, none of the runs is unneeded, also for a task whose
// runs a later task's run replaces, and the difference is counted.
RC_GTEST_FIXTURE_PROP(preemption_plan_test, plans_fit_and_stop_no_more_than_before, ())
{
    const auto sizes =
        *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(1, 9));
    for (const auto size : sizes)
        this->add_run(size, milliseconds(*rc::gen::inRange(1, 1000)));
    const auto need = *rc::gen::inRange<std::int64_t>(1, 9);
    const auto tasks = *rc::gen::inRange<std::uint32_t>(1, 5);
    const auto free = *rc::gen::inRange<std::int64_t>(0, 4);
    this->target.report.capacity += cores_of(free);

    const auto runs = preemptible_runs(this->target, {});
    runs_by_plan expected;
    auto room = free;
    for (std::size_t next = 0; expected.size() < tasks; room -= need) {
        std::vector<std::uint32_t> chosen;
        for (; room < need && next < runs.size(); room += sizes[chosen.back()])
            chosen.push_back(runs[next++].task.step);
        if (room < need)
            break;
        expected.push_back(std::move(chosen));
    }
    const auto before =
        plan_preemptions(this->target, cores_of(need), runs, tasks, preemption_policy::any);
    RC_ASSERT(numbers(before) == expected);

    auto plans =
        plan_preemptions(this->target, cores_of(need), runs, tasks, preemption_policy::least);
    RC_ASSERT(plans.size() == before.size());
    const auto avoided = remove_unneeded_stops(plans, cores_of(need));
    const auto stopped = all_numbers(plans);
    RC_ASSERT(stopped.size() + avoided == all_numbers(before).size());
    auto surplus = free - need * static_cast<std::int64_t>(plans.size());
    for (const auto number : stopped)
        surplus += sizes[number];
    RC_ASSERT(plans.empty() || surplus >= 0);
    for (const auto number : stopped)
        RC_ASSERT(surplus < sizes[number]);
}

// Runs were stopped shortly before they would have ended, and their work was done twice.
TEST_F(preemption_plan_test, runs_that_end_within_the_time_of_a_stop_are_not_stopped)
{
    constexpr milliseconds length{1000};
    for (const int age : {200, 700, 1100})
        this->add_run(1, milliseconds(age));
    const auto planned = [this](preemption_policy policy) {
        return all_numbers(this->plan(1, 3, policy));
    };
    const std::vector<std::uint32_t> all{0, 1, 2};
    for (int stop = 0; stop < 4; ++stop)
        this->avoidance.learn_stop(milliseconds(400));
    for (int run = 0; run < 12; ++run)
        this->lengths["batch"].learn(milliseconds(50), length);
    EXPECT_EQ(planned(preemption_policy::least), all) << "too few stops were seen";
    this->avoidance.learn_stop(milliseconds(400));
    EXPECT_EQ(planned(preemption_policy::any), all);
    EXPECT_EQ(planned(preemption_policy::least), (std::vector<std::uint32_t>{0, 2}));
    EXPECT_EQ(avoided_stops(this->plan(1, 3, preemption_policy::any)).size(), 1);
    // A target that was away does not distort the average.
    this->avoidance.learn_stop(milliseconds(60'000));
    EXPECT_EQ(this->avoidance.stop_time(), milliseconds(400 + (3000 - 400) / 6));
    this->lengths.clear();
    EXPECT_EQ(planned(preemption_policy::least), all) << "no run lengths are learned";
}

} // namespace
} // namespace verbenalever
