// Accepted workflows whose queue is removed from the configuration, or changed, while they go on.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {
namespace {

class coordinator_definitions_test : public coordinator_fixture {
protected:
    coordinator_definitions_test()
    {
        this->configuration->queues.push_back({.name = "advised",
                                               .pool = "pool",
                                               .priority = 1,
                                               .attempts = 3,
                                               .latency_objective = milliseconds(5000),
                                               .needs_advice = true,
                                               .advice_base_ms = 1,
                                               .advice_target_ms = 1});
    }

    /// Start a coordinator whose advisor allows all targets.
    process& elect_with_advisor(const std::string& vm)
    {
        auto& elected = this->elect(vm);
        elected.active_coordinator->advice_dispatch().add_vm(
            vm, [this](const advice_question& question, milliseconds,
                       const advice_dispatcher::answer_callback& done) {
                ++this->questions;
                if (this->answers_left-- <= 0)
                    return;
                advice_answer answer{.answered = true, .valid_ms = this->ticket_validity_ms};
                for (const auto& name : question.targets)
                    answer.granted.push_back({name, "ticket"});
                done(answer);
            });
        return elected;
    }

    void add_targets(bool require_tickets, const std::string& pool = "pool")
    {
        for (const auto* name : {"1", "2", "3"}) {
            auto& added = this->targets.add(pool + name, 2000);
            added.task_duration = milliseconds(0);
            added.requires_ticket = require_tickets;
            added.report.pool = pool;
        }
        this->targets.publish_targets();
    }

    /// Give the coordinator a newer configuration; processes elected later start with it too.
    void reconfigure(process& of, const std::function<void(fleet_configuration&)>& change)
    {
        auto newer = std::make_shared<fleet_configuration>(*this->configuration);
        ++newer->version;
        change(*newer);
        this->configuration = newer;
        of.active_coordinator->apply_configuration(newer);
    }

    static queue_definition& queue(fleet_configuration& configuration, const std::string& name)
    {
        return *std::ranges::find(configuration.queues, name, &queue_definition::name);
    }

    void remove_queue(process& of, const std::string& name)
    {
        this->reconfigure(of, [&name](fleet_configuration& newer) {
            std::erase_if(newer.queues, [&name](const auto& known) { return known.name == name; });
        });
    }

    /// @return a step of tasks of one core, of which each target runs at most one
    static step_spec spread_step(std::uint32_t count, std::vector<std::uint32_t> after = {})
    {
        auto step = tasks(count, 1);
        step.max_per_target = 1;
        step.after = std::move(after);
        return step;
    }

    void end_all()
    {
        for (const auto& [name, target] : this->targets.targets)
            this->targets.end_all(name, target_view::ending::done);
    }

    /// Let the list of targets be too old for starts until list_stopped_at is 0 again.
    void pause_starts()
    {
        this->targets.list_stopped_at = boot_time() - milliseconds(5000);
    }

    int questions = 0;
    int answers_left = 1000; ///< questions that the advisor still answers
    std::int64_t ticket_validity_ms = 10'000;
};

// A step whose turn came while its queue was removed was started without tickets. The refusals
// counted as denials by the advisor for good, so that it never started.
TEST_F(coordinator_definitions_test, a_step_of_a_removed_queue_asks_the_advisor)
{
    this->add_targets(true);
    auto& first = this->elect_with_advisor("vm-1");
    this->submit(first, "w", {this->tasks(1, 1), spread_step(3, {0})}, "advised");
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("w"), 1);
    const auto starts = this->targets.start_count;
    this->remove_queue(first, "advised");
    this->end_all();
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.running("w"), 3);
    EXPECT_EQ(this->targets.start_count, starts + 3) << "starts were refused";
}

// The targets know a newer configuration than the coordinator: they demand tickets, which says
// nothing of what the advisor allows.
TEST_F(coordinator_definitions_test, a_refusal_without_a_ticket_is_no_denial_by_the_advisor)
{
    this->add_targets(true);
    this->queue(*this->configuration, "advised").needs_advice = false;
    auto& first = this->elect_with_advisor("vm-1");
    this->submit(first, "w", {spread_step(3)}, "advised");
    this->run_for(milliseconds(500));
    ASSERT_EQ(this->targets.running("w"), 0);
    EXPECT_LE(this->targets.start_count, 3) << "the refused starts are repeated at once";
    this->reconfigure(
        first, [](fleet_configuration& newer) { queue(newer, "advised").needs_advice = true; });
    this->run_for(milliseconds(3500)); // polls have to show that the refused runs are not there
    EXPECT_GT(this->questions, 0);
    EXPECT_EQ(this->targets.running("w"), 3);
}

// The queue comes back without advice: starts were withheld for want of a ticket that is valid.
TEST_F(coordinator_definitions_test, an_expired_ticket_of_a_queue_without_advice_is_not_needed)
{
    this->add_targets(false);
    this->ticket_validity_ms = 1;
    this->answers_left = 1;
    auto& first = this->elect_with_advisor("vm-1");
    this->submit(first, "w", {spread_step(3)}, "advised");
    this->run_for(milliseconds(300));
    ASSERT_GT(this->questions, 0);
    ASSERT_EQ(this->targets.running("w"), 0) << "the tickets expire too soon";
    this->remove_queue(first, "advised");
    this->run_for(milliseconds(100));
    this->reconfigure(first, [](fleet_configuration& newer) {
        newer.queues.push_back({.name = "advised", .pool = "pool", .priority = 1, .attempts = 3});
    });
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("w"), 3);
}

// An accepted workflow stayed with the pool of its acceptance, whose targets had left.
TEST_F(coordinator_definitions_test, a_workflow_follows_its_queue_to_another_pool)
{
    this->add_targets(false, "old");
    this->add_targets(false, "new");
    const auto send_to = [](const std::string& pool) {
        return [pool](fleet_configuration& newer) { queue(newer, "slow").pool = pool; };
    };
    send_to("old")(*this->configuration);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1), spread_step(3, {0})}, "slow");
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.targets["old1"]->running.size() +
                  this->targets.targets["old2"]->running.size() +
                  this->targets.targets["old3"]->running.size(),
              1);
    this->reconfigure(first, send_to("new"));
    EXPECT_EQ(first.active_coordinator->waiting().ahead_in_pool("old", 2).workflows, 0);
    EXPECT_EQ(first.active_coordinator->waiting().ahead_in_pool("new", 2).workflows, 1);
    this->end_all();
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.running("w"), 3);
    for (const auto* name : {"new1", "new2", "new3"})
        EXPECT_EQ(this->targets.targets[name]->running.size(), 1);
}

// The queue moves to a pool without targets, twice within a second, and back.
TEST_F(coordinator_definitions_test, a_workflow_starts_when_its_queue_moves_back)
{
    this->add_targets(false);
    auto& first = this->elect("vm-1");
    for (const auto* pool : {"empty", "empty too"}) {
        this->reconfigure(first,
                          [pool](fleet_configuration& newer) { queue(newer, "slow").pool = pool; });
        this->submit(first, pool, {spread_step(3)}, "slow");
        this->run_for(milliseconds(200));
    }
    ASSERT_EQ(this->targets.running("empty") + this->targets.running("empty too"), 0);
    this->reconfigure(first,
                      [](fleet_configuration& newer) { queue(newer, "slow").pool = "pool"; });
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("empty"), 3);
    EXPECT_EQ(this->targets.running("empty too"), 3);
    for (const auto* pool : {"empty", "empty too", "pool"})
        EXPECT_EQ(first.active_coordinator->waiting().ahead_in_pool(pool, 2).processors_milli, 0)
            << pool;
}

// The successor of a coordinator reads the workflow with the pool of its acceptance.
TEST_F(coordinator_definitions_test, a_successor_uses_the_pool_to_which_the_queue_has_moved)
{
    this->add_targets(false, "new");
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {spread_step(3)}, "slow");
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("w"), 0);
    this->reconfigure(first, [](fleet_configuration& newer) { queue(newer, "slow").pool = "new"; });
    this->kill(first);
    this->elect("vm-2");
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("w"), 3);
}

// A queue was removed and the coordinator killed: the successor did not know the attempts, and
// started a task that always fails without an end.
TEST_F(coordinator_definitions_test, a_successor_knows_the_attempts_of_a_removed_queue)
{
    for (const auto* name : {"t1", "t2", "t3", "t4"})
        this->targets.add(name, 1000).fails_all_tasks = true;
    auto& first = this->elect("vm-1");
    this->pause_starts();
    this->submit(first, "w", {this->tasks(1, 1)}, "slow");
    this->run_for(milliseconds(100));
    this->remove_queue(first, "slow");
    this->kill(first);
    this->targets.list_stopped_at = milliseconds(0);
    auto& second = this->elect("vm-2");
    this->run_for(milliseconds(3000));
    EXPECT_EQ(this->targets.start_count, 3);
    EXPECT_EQ(this->state(second, "w"), workflow_state::failed);
}

// The same for the need of advice, the pool and the priority.
TEST_F(coordinator_definitions_test, a_successor_knows_the_definition_of_a_removed_queue)
{
    this->add_targets(true, "new");
    auto& first = this->elect_with_advisor("vm-1");
    this->submit(first, "w", {spread_step(3)}, "advised");
    this->run_for(milliseconds(100));
    this->reconfigure(first,
                      [](fleet_configuration& newer) { queue(newer, "advised").pool = "new"; });
    this->run_for(milliseconds(100));
    this->targets.end_all("new1", target_view::ending::stopped);
    this->remove_queue(first, "advised");
    this->kill(first);
    this->elect_with_advisor("vm-2");
    this->run_for(milliseconds(1000));
    EXPECT_EQ(this->targets.running("w"), 3);
}

// A successor that finds a record of a build that stored no definitions, and no queue in the
// configuration, neither starts its tasks without a bound nor leaves them waiting.
TEST_F(coordinator_definitions_test, a_record_without_a_known_definition_has_a_bound)
{
    for (const auto* name : {"t1", "t2", "t3", "t4"})
        this->targets.add(name, 1000).fails_all_tasks = true;
    auto& first = this->elect("vm-1");
    this->pause_starts();
    this->submit(first, "w", {this->tasks(1, 1)}, "slow");
    this->run_for(milliseconds(100));
    this->remove_queue(first, "slow");
    this->run_for(milliseconds(100));
    this->kill(first);
    this->store.items["v/q/definitions"].removed = true;
    this->targets.list_stopped_at = milliseconds(0);
    auto& second = this->elect("vm-2");
    this->run_for(milliseconds(3000));
    EXPECT_EQ(this->targets.start_count, 3) << "the most attempts of a known queue";
    EXPECT_EQ(this->state(second, "w"), workflow_state::failed);
}

// Targets tell of such a queue that it needs advice.
TEST_F(coordinator_definitions_test, a_queue_without_a_known_definition_gets_advice_when_needed)
{
    this->add_targets(true);
    auto& first = this->elect("vm-1"); // without an advisor
    this->submit(first, "w", {spread_step(3)}, "advised");
    this->run_for(milliseconds(100));
    this->remove_queue(first, "advised");
    this->run_for(milliseconds(100));
    this->kill(first);
    this->store.items["v/q/definitions"].removed = true;
    this->elect_with_advisor("vm-2");
    this->run_for(milliseconds(1800));
    EXPECT_EQ(this->targets.running("w"), 3);
}

// The queue comes back with fewer attempts than have failed: the task was started again.
TEST_F(coordinator_definitions_test, a_task_that_has_used_the_attempts_left_is_not_started)
{
    for (const auto* name : {"t1", "t2", "t3", "t4"})
        this->targets.add(name, 1000).fails_all_tasks = true;
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)}, "slow");
    while (this->targets.start_count < 2)
        this->run_for(milliseconds(5));
    this->pause_starts();
    this->run_for(milliseconds(200));
    this->remove_queue(first, "slow");
    this->reconfigure(first, [](fleet_configuration& newer) {
        newer.queues.push_back({.name = "slow", .pool = "pool", .priority = 2, .attempts = 2});
    });
    this->targets.list_stopped_at = milliseconds(0);
    this->run_for(milliseconds(1000));
    EXPECT_EQ(this->targets.start_count, 2);
    EXPECT_EQ(this->state(first, "w"), workflow_state::failed);
}

// A team without a definition counted as one without a limit, also for a successor.
TEST_F(coordinator_definitions_test, a_removed_team_keeps_its_limit)
{
    this->configuration->teams.front().limit.processors_milli = 2000;
    this->add_targets(false);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(5, 1)}, "slow");
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("w"), 2);
    this->reconfigure(first, [](fleet_configuration& newer) { newer.teams.clear(); });
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.running("w"), 2);
    this->kill(first);
    this->elect("vm-2");
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("w"), 2);
}

} // namespace
} // namespace verbenalever
