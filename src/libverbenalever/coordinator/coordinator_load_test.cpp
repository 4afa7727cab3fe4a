// The coordinator under load; each case names its load pattern.

#include "coordinator/target_session.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace verbenalever {
namespace {

class coordinator_load_test : public coordinator_fixture {
protected:
    /// @return whether the store has a record of the workflow
    bool has_stored_record(const std::string& id)
    {
        for (const auto& [key, item] : this->store.items) {
            if (!key.starts_with("v/w/"))
                continue;
            const auto records = record_log::decode(item.value);
            if (records.ok() &&
                std::ranges::find(*records, id, &workflow_record::id) != records->end())
                return true;
        }
        return false;
    }
};

// Load pattern: more simultaneous submissions than one transaction holds. A placement may be
// written in a batch before its workflow's record; its start must still wait for the record.
TEST_F(coordinator_load_test, no_task_starts_before_its_workflow_record_is_stored)
{
    for (int number = 0; number < 10; ++number)
        this->targets.add("t" + std::to_string(number), 16'000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    int started_before_record = 0;
    this->targets.on_start = [this, &started_before_record](const start_order& order) {
        started_before_record += this->has_stored_record(order.task.workflow) ? 0 : 1;
    };
    for (int number = 0; number < 100; ++number) {
        this->submit(first, "w" + std::to_string(number), {this->tasks(1, 1)});
        if (number % 20 == 0)
            this->run_for(milliseconds(3));
    }
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->targets.start_count, 100);
    EXPECT_EQ(started_before_record, 0);
}

// Load pattern: many tasks end while the store is slow. With a progress key for each workflow a
// store of four transactions a second can record only 120 ends a second.
TEST_F(coordinator_load_test, ends_of_many_workflows_share_store_transactions)
{
    constexpr int count = 200;
    for (int number = 0; number < 20; ++number)
        this->targets.add("t" + std::to_string(number), 40'000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    for (int number = 0; number < count; ++number)
        this->submit(first, "w" + std::to_string(number), {this->tasks(2, 1)});
    this->run_for(milliseconds(800));
    ASSERT_EQ(this->targets.start_count, 2 * count);
    const auto count_before = this->store.commit_count;
    for (auto& [name, target] : this->targets.targets) {
        // One task of each workflow ends.
        const auto running = target->running;
        for (const auto& [task, run] : running) {
            if (task.index == 0) {
                target->running.erase(task);
                target->ended.push_back(
                    {++target->last_end_number, task, run, target_view::ending::done, {}});
            }
        }
    }
    this->run_for(milliseconds(1500));
    EXPECT_LE(this->store.commit_count - count_before, 12);
    this->kill(first);
    auto& second = this->elect("vm-2");
    for (auto& [name, target] : this->targets.targets)
        this->targets.end_all(name, target_view::ending::done);
    this->run_for(milliseconds(1500));
    for (int number = 0; number < count; ++number)
        EXPECT_EQ(this->state(second, "w" + std::to_string(number)), workflow_state::completed);
    EXPECT_EQ(this->targets.start_count, 2 * count);
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->store.items.lower_bound("v/e/"), this->store.items.lower_bound("v/e0"));
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// Load pattern: urgent jobs arrive while slow work of the same team uses up its limit.
TEST_F(coordinator_load_test, urgent_work_preempts_slow_work_at_its_teams_limit)
{
    this->configuration->teams[0].limit = {.processors_milli = 4000};
    this->targets.add("t1", 16'000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "slow", {this->tasks(4, 1)}, "slow");
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("slow"), 4);
    this->submit(first, "urgent", {this->tasks(1, 2)});
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->targets.running("urgent"), 1);
    EXPECT_EQ(this->targets.running("slow"), 2);
}

// Load pattern: urgent jobs arrive while slow work occupies all targets.
TEST_F(coordinator_load_test, urgent_work_preempts_slow_work_that_started_recently)
{
    this->targets.add("t1", 4000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "slow", {this->tasks(4, 1)}, "slow");
    this->run_for(milliseconds(200));
    this->submit(first, "urgent", {this->tasks(2, 1)});
    this->run_for(milliseconds(600));
    EXPECT_EQ(this->targets.running("urgent"), 2);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// Load pattern: far more work waits than fits. A pass must not evaluate every target for every
// waiting step.
TEST_F(coordinator_load_test, waiting_steps_do_not_evaluate_targets_of_a_full_fleet)
{
    constexpr int fleet = 100;
    constexpr int waiting = 300;
    for (int number = 0; number < fleet; ++number)
        this->targets.add("t" + std::to_string(number), 1000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "filling", {this->tasks(fleet, 1)});
    this->run_for(milliseconds(400));
    ASSERT_EQ(this->targets.running("filling"), fleet);
    for (int number = 0; number < waiting; ++number)
        this->submit(first, "w" + std::to_string(number), {this->tasks(1, 1)}, "slow");
    this->run_for(milliseconds(800));
    const auto count_before = first.metrics.value("targets_weighed");
    this->run_for(milliseconds(1000));
    EXPECT_EQ(first.metrics.value("targets_weighed") - count_before, 0);
    this->targets.end_all("t7", target_view::ending::done);
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.start_count, fleet + 1);
}

// Load pattern: one team submits many times its usual work. If its steps, which all wait for its
// limit, counted toward the steps of a pass, less urgent work of other teams would never start.
TEST_F(coordinator_load_test, a_team_at_its_limit_does_not_block_other_teams)
{
    constexpr int backlog = 700;
    this->configuration->teams.push_back(
        {.name = "hot", .keys = {}, .weight = 1, .limit = {.processors_milli = 1000}});
    this->targets.add("t1", 8000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    for (int number = 0; number < backlog; ++number)
        first.active_coordinator->submit({"hot" + std::to_string(number),
                                          "urgent",
                                          "hot",
                                          {.payload = "p", .steps = {this->tasks(1, 1)}}},
                                         [](call_outcome, std::int64_t) {});
    this->run_for(milliseconds(600));
    this->submit(first, "other", {this->tasks(1, 1)}, "slow");
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("other"), 1);
    EXPECT_EQ(this->targets.start_count, 2);
}

// Load pattern: all targets of one kind are lost while urgent work that needs it goes on arriving.
// Each pass looked at the same steps at the front, which no target suits, and at no others: work of
// all other queues waited beside idle targets for good.
TEST_F(coordinator_load_test, steps_that_no_target_suits_do_not_hide_later_ones)
{
    constexpr int backlog = 900;
    this->targets.add("t1", 8000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    auto unsuited = this->tasks(1, 1);
    unsuited.required_label = "lost-kind";
    for (int number = 0; number < backlog; ++number)
        this->submit(first, "unsuited" + std::to_string(number), {unsuited});
    this->run_for(milliseconds(600));
    for (int number = 0; number < 4; ++number)
        this->submit(first, "later" + std::to_string(number), {this->tasks(1, 1)}, "slow");
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.start_count, 4);
}

// Load pattern: the same while less urgent runs fill the only target that suits the last of the
// urgent steps: those that no target suits used up the preemptions of each pass.
TEST_F(coordinator_load_test, steps_that_no_target_suits_use_up_no_preemptions)
{
    constexpr int backlog = 250;
    auto& target = this->targets.add("t1", 8000);
    target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "slow", {this->tasks(8, 1)}, "slow");
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("slow"), 8);
    auto unsuited = this->tasks(1, 1);
    unsuited.required_label = "lost-kind";
    for (int number = 0; number < backlog; ++number)
        this->submit(first, "unsuited" + std::to_string(number), {unsuited});
    this->run_for(milliseconds(800));
    const auto reclaimed_before = first.metrics.value("runs_reclaimed");
    this->submit(first, "urgent", {this->tasks(1, 1)});
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("urgent"), 1);
    EXPECT_EQ(first.metrics.value("runs_reclaimed") - reclaimed_before, 1);
}

// Load pattern: operators take out one of two availability zones while a team uses more than half
// of what is left. Its share is a part of the targets in service, so the other team goes first.
TEST_F(coordinator_load_test, shares_are_measured_against_the_zones_in_service)
{
    this->configuration->teams.push_back({.name = "other", .keys = {}, .weight = 1, .limit = {}});
    this->configuration->zones_out.insert("z2");
    this->targets.add("t1", 10'000, "z1").task_duration = milliseconds(0);
    this->targets.add("t2", 10'000, "z2").task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "large", {this->tasks(7, 1)});
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.running("large"), 7);
    this->submit(first, "next", {this->tasks(3, 1)});
    first.active_coordinator->submit(
        {"others", "urgent", "other", {.payload = "p", .steps = {this->tasks(3, 1)}}},
        [](call_outcome, std::int64_t) {});
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->targets.running("others"), 3);
    EXPECT_EQ(this->targets.running("next"), 0);
}

// Load pattern: submissions arrive faster than the store can write them. Without refusals they wait
// until their callers time out, which leaves the outcome unknown.
TEST_F(coordinator_load_test, submissions_are_refused_while_the_write_backlog_is_too_long)
{
    constexpr int burst = 12'000;
    auto& first = this->elect("vm-1");
    this->store.commit_delay = milliseconds(500);
    this->submit(first, "first", {this->tasks(1, 1)});
    this->run_for(milliseconds(1200));
    for (int number = 0; number < burst; ++number)
        this->submit(first, "w" + std::to_string(number), {this->tasks(1, 1)});
    int refused = 0;
    for (const auto& [id, outcome] : this->outcomes)
        refused += outcome == call_outcome::refused ? 1 : 0;
    EXPECT_GT(refused, burst / 3);
    EXPECT_LT(refused, burst * 4 / 5);
    this->run_for(milliseconds(3000));
    EXPECT_EQ(this->outcomes.size(), burst + 1);
}

// Load pattern: a store that takes 130 ms for each answer, and 200 submissions a second, twice the
// usual. With a key for each record a transaction takes 30 of them, so that the records of starts
// and ends would wait ever longer.
TEST_F(coordinator_load_test, a_slow_store_keeps_up_with_twice_the_usual_submissions)
{
    constexpr int count = 600;
    for (int number = 0; number < 10; ++number)
        this->targets.add("t" + std::to_string(number), 64'000).task_duration = milliseconds(100);
    auto& first = this->elect("vm-1");
    this->store.commit_delay = milliseconds(130);
    std::vector<milliseconds> accepted_after;
    for (int number = 0; number < count; ++number) {
        const auto id = "w" + std::to_string(number);
        this->targets.need_by_workflow[id] = {.processors_milli = 1000, .memory_mb = 100};
        first.active_coordinator->submit(
            {id, "urgent", "team", {.payload = "p", .steps = {this->tasks(1, 1)}}},
            [&accepted_after, sent = boot_time()](call_outcome outcome, std::int64_t) {
                EXPECT_EQ(outcome, call_outcome::accepted);
                accepted_after.push_back(boot_time() - sent);
            });
        this->run_for(milliseconds(5));
    }
    this->run_for(milliseconds(1000));
    ASSERT_EQ(accepted_after.size(), count);
    std::ranges::sort(accepted_after);
    // Half an answer until the next transaction is sent, on average, and a whole one for it.
    EXPECT_LT(accepted_after[count * 95 / 100], milliseconds(350));
    int completed = 0;
    for (int number = 0; number < count; ++number)
        completed += this->state(first, "w" + std::to_string(number)) == workflow_state::completed;
    EXPECT_EQ(completed, count);
}

// Load pattern: a backlog of large gangs, most of them late. Late gangs that already have advice
// must not use the targets that the advisor is being asked about for a gang that can still be in
// time.
TEST_F(coordinator_load_test, a_late_gang_does_not_ask_about_targets_claimed_by_one_in_time)
{
    this->configuration->queues.push_back({.name = "advised",
                                           .pool = "pool",
                                           .priority = 1,
                                           .attempts = 3,
                                           .stretch = 0,
                                           .latency_objective = milliseconds(5000),
                                           .needs_advice = true,
                                           .advice_base_ms = 1,
                                           .advice_target_ms = 1});
    constexpr int fleet = 60;
    for (int number = 0; number < fleet; ++number)
        this->targets.add("t" + std::to_string(number), 2000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    std::map<std::string, std::set<std::string>> asked_targets;
    for (const auto* vm : {"vm-1", "vm-2", "vm-3", "vm-4"})
        first.active_coordinator->advice_dispatch().add_vm(
            vm, [&asked_targets](const advice_question& question, milliseconds, const auto&) {
                asked_targets[question.workflow].insert(question.targets.begin(),
                                                        question.targets.end());
            });
    this->submit(first, "in time", {this->tasks(10, 1, true)}, "advised");
    this->run_for(milliseconds(100));
    auto late = this->tasks(10, 1, true);
    late.estimated_ms = 60'000;
    this->submit(first, "late", {late}, "advised");
    this->run_for(milliseconds(300));
    ASSERT_FALSE(asked_targets["in time"].empty());
    ASSERT_FALSE(asked_targets["late"].empty());
    for (const auto& name : asked_targets["in time"])
        EXPECT_FALSE(asked_targets["late"].contains(name)) << name;
}

// Load pattern: urgent work on targets of which some leave orders unanswered. A start that is sent
// again only after the next poll of its target is late.
TEST_F(coordinator_load_test, a_start_without_an_answer_is_sent_again_at_once)
{
    auto& target = this->targets.add("t1", 4000);
    target.task_duration = milliseconds(0);
    target.loses_response = [this](const start_order&) { return this->targets.start_count == 1; };
    auto& first = this->elect("vm-1");
    this->submit(first, "urgent", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.start_count, 1);
    this->run_for(milliseconds(200));
    EXPECT_EQ(this->targets.start_count, 2);
    // The target counts as reachable again.
    this->submit(first, "next", {this->tasks(1, 1)});
    this->run_for(milliseconds(100));
    EXPECT_EQ(this->targets.running("next"), 1);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// Load pattern: urgent work on targets of which some leave polls unanswered. The end of a run stays
// unknown until the lost poll times out.
TEST_F(coordinator_load_test, a_lost_poll_does_not_hide_the_end_of_urgent_work_for_long)
{
    auto& target = this->targets.add("t1", 4000);
    target.task_duration = milliseconds(300);
    auto& first = this->elect("vm-1");
    target.polls_to_lose = 1;
    this->submit(first, "urgent", {this->tasks(1, 1)});
    this->run_for(milliseconds(1000));
    EXPECT_EQ(target.polls_to_lose, 0);
    EXPECT_EQ(this->state(first, "urgent"), workflow_state::completed);
}

// Load pattern: light work; one rack of a zone is lost for good. The idle targets of the zone's
// other rack were never asked, so that the zone counted as silent and got no work any more.
TEST_F(coordinator_load_test, idle_targets_of_a_zone_are_used_after_others_of_it_are_lost)
{
    for (int number = 0; number < 3; ++number) {
        auto& lost = this->targets.add("lost" + std::to_string(number), 2000, "z1");
        lost.task_duration = milliseconds(0);
        lost.report.labels.emplace_back("rack-1");
        this->targets.add("idle" + std::to_string(number), 2000, "z1").task_duration =
            milliseconds(0);
    }
    auto& first = this->elect("vm-1");
    auto on_rack = this->tasks(3, 2);
    on_rack.required_label = "rack-1";
    this->submit(first, "on-rack", {on_rack}, "slow");
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.running("on-rack"), 3);
    for (int number = 0; number < 3; ++number)
        this->targets.targets["lost" + std::to_string(number)]->unresponsive = true;
    this->run_for(milliseconds(3500)); // longer than a poll waits
    this->submit(first, "next", {this->tasks(3, 2)}, "slow");
    this->run_for(milliseconds(800));
    EXPECT_EQ(this->targets.running("next"), 3);
}

// Load pattern: an availability zone is cut off. Each of its targets would be found silent by
// losing a task; the others must not be used meanwhile.
TEST_F(coordinator_load_test, few_tasks_are_placed_in_a_zone_that_was_cut_off)
{
    constexpr int targets_per_zone = 30;
    for (int number = 0; number < targets_per_zone; ++number) {
        this->targets.add("a" + std::to_string(number), 2000, "z1");
        this->targets.add("b" + std::to_string(number), 2000, "z2");
    }
    auto& first = this->elect("vm-1");
    int submitted = 0;
    const auto submit_for = [&](milliseconds span) {
        for (milliseconds passed{0}; passed < span; passed += milliseconds(20)) {
            this->submit(first, "w" + std::to_string(++submitted), {this->tasks(2, 1)});
            this->run_for(milliseconds(20));
        }
    };
    submit_for(milliseconds(500));
    int lost_starts = 0;
    this->targets.on_start_at = [&lost_starts](const fake_targets::target& destination) {
        lost_starts += destination.unresponsive ? 1 : 0;
    };
    for (int number = 0; number < targets_per_zone; ++number)
        this->targets.targets["a" + std::to_string(number)]->unresponsive = true;
    submit_for(milliseconds(1500));
    // One start on each of half as many targets, sent again once.
    EXPECT_LE(lost_starts, targets_per_zone);
    for (int number = 0; number < targets_per_zone; ++number)
        this->targets.targets["a" + std::to_string(number)]->unresponsive = false;
    this->run_for(milliseconds(7000));
    for (int number = 1; number <= submitted; ++number)
        EXPECT_EQ(this->state(first, "w" + std::to_string(number)), workflow_state::completed);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// An end that is not recorded yet must not cause further polls of its target.
TEST_F(coordinator_load_test, polls_do_not_outnumber_ends)
{
    this->targets.add("t1", 8000).task_duration = milliseconds(100);
    auto& first = this->elect("vm-1");
    this->targets.poll_count = 0;
    for (int number = 0; number < 20; ++number) {
        this->submit(first, "w" + std::to_string(number), {this->tasks(1, 1)});
        this->run_for(milliseconds(60));
    }
    this->run_for(milliseconds(300));
    EXPECT_LE(this->targets.poll_count, 45) << "expected about two polls for each of 20 ends";
}

} // namespace
} // namespace verbenalever
