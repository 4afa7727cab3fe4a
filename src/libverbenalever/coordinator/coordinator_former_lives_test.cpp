// A target restarts under its name and executes orders that were sent to its former life. Its clock
// starts anew, so that any lease for the former life is one of the longest length in the new one.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <optional>

namespace verbenalever {
namespace {

constexpr milliseconds target_lease_limit{4000}; ///< far above the lease that coordinators grant
/// An order is on its way for at most this long, see target_session::late_execution_limit.
constexpr milliseconds order_transit{2500};
/// A start order without an answer is kept for at most this long in some of the tests.
constexpr milliseconds kept_start_limit{5000};
/// When it is executed there.
constexpr milliseconds kept_start_execution{4000};
/// By then a task on a target that does not answer has to run elsewhere.
constexpr milliseconds replaced_by = order_transit + target_lease_limit + milliseconds(1500);

class coordinator_former_lives_test : public coordinator_fixture {
protected:
    coordinator_former_lives_test()
    {
        this->longest_task_lease = target_lease_limit;
        this->targets.longest_lease = target_lease_limit;
        this->targets.clocks_restart = true;
        this->targets.executes_starts_for_former_lives = true;
        this->targets.executes_polls_for_former_lives = true;
        this->add_target("t1");
        this->targets.on_start = [this](const start_order& order) {
            if (!this->held)
                this->held = order;
        };
        this->targets.on_start_authority = [this](const order_authority& authority) {
            if (!this->held_authority)
                this->held_authority = authority;
        };
    }

    fake_targets::target& add_target(const std::string& name)
    {
        auto& added = this->targets.add(name, 1000);
        added.task_duration = milliseconds(0);
        return added;
    }

    /// Cut t1 off and send it a start, which it has not received when it restarts.
    void restart_before_the_start_arrives(process& sender)
    {
        this->targets.targets["t1"]->unresponsive = true;
        this->submit(sender, "w", {this->tasks(1, 1)});
        while (!this->held)
            this->run_for(milliseconds(1));
        this->add_target("t2");
        this->targets.restart("t1"); // publishes the list too
    }

    /// Execute the first start in the present life of t1, which stays cut off.
    void execute_held_start()
    {
        auto& target = *this->targets.targets["t1"];
        target.unresponsive = false;
        this->targets.start(target_life{.name = "t1", .born_ms = 1}, *this->held_authority,
                            *this->held, milliseconds(500), [](const order_result&) {});
        target.unresponsive = true;
        ASSERT_EQ(target.running.size(), 1);
    }

    void expect_no_second_run()
    {
        EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
    }

    /// Expect that the run on t1 ends before another one starts, and that one does start.
    void expect_one_run_after_the_other()
    {
        this->run_for(replaced_by);
        this->expect_no_second_run();
        EXPECT_EQ(this->targets.targets["t2"]->running.size(), 1);
    }

    /// Let targets keep start orders without an answer for longer than any other order.
    void keep_unanswered_starts()
    {
        this->unanswered_start_limit = kept_start_limit;
    }

    /// Expect that the run on t1 ends before another one starts, and that one starts after the time
    /// for which an order without an answer counts.
    void expect_one_run_after_a_kept_start(milliseconds already_waited)
    {
        this->run_for(kept_start_limit + target_lease_limit + milliseconds(1500) - already_waited);
        this->expect_no_second_run();
        EXPECT_EQ(this->targets.targets["t2"]->running.size(), 1);
    }

    std::optional<start_order> held;
    std::optional<order_authority> held_authority;
};

// The task was released when the order could not be on its way any more, while its run went on.
TEST_F(coordinator_former_lives_test, a_task_is_held_as_long_as_the_next_life_may_run_it)
{
    this->restart_before_the_start_arrives(this->elect("vm-1"));
    this->run_for(milliseconds(100));
    this->execute_held_start();
    this->expect_one_run_after_the_other();
}

// The restart is not noticed: the run was given up when the lease of the former life had expired.
TEST_F(coordinator_former_lives_test, a_start_that_an_unnoticed_life_executes_does_not_run_twice)
{
    auto& first = this->elect("vm-1");
    this->targets.listed_born_ms["t1"] = 1;
    this->restart_before_the_start_arrives(first);
    this->execute_held_start();
    this->expect_one_run_after_the_other();
}

// The new life answers one poll and is cut off: the lease that coordinators grant was assumed.
TEST_F(coordinator_former_lives_test, a_new_life_may_have_the_longest_lease_when_it_is_polled)
{
    this->restart_before_the_start_arrives(this->elect("vm-1"));
    this->run_for(milliseconds(100));
    this->execute_held_start();
    auto& target = *this->targets.targets["t1"];
    timer cut(this->loop, [&target] { target.unresponsive = true; });
    this->targets.on_poll = [&](std::int64_t) {
        if (!target.unresponsive)
            cut.start_once(milliseconds(0));
    };
    target.unresponsive = false;
    this->expect_one_run_after_the_other();
}

// A poll for the former life is executed when the new life has been polled: it renewed the lease of
// the new life, and made it forget ends that no coordinator had seen.
TEST_F(coordinator_former_lives_test, a_new_life_refuses_orders_for_the_former_one_once_polled)
{
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(300));
    auto& target = *this->targets.targets["t1"];
    ASSERT_EQ(target.running.size(), 1);
    this->targets.restart("t1");
    this->run_for(milliseconds(500));
    ASSERT_EQ(target.running.size(), 1);
    std::optional<order_result::outcome> result;
    this->targets.poll(target_life{.name = "t1", .born_ms = 1}, *this->held_authority, 1,
                       milliseconds(0), milliseconds(500),
                       [&result](const target_view& view) { result = view.result.how; });
    target.unresponsive = true;
    this->add_target("t2");
    this->targets.publish_targets();
    this->expect_one_run_after_the_other();
    EXPECT_EQ(result, order_result::outcome::fenced);
}

// A successor knows that the target restarted: it waited for no longer than for other targets.
TEST_F(coordinator_former_lives_test, a_successor_waits_for_the_longest_lease_of_a_new_life)
{
    auto& first = this->elect("vm-1");
    this->restart_before_the_start_arrives(first);
    this->kill(first);
    this->elect("vm-2");
    this->run_for(milliseconds(300));
    this->execute_held_start();
    this->run_for(milliseconds(1500)); // the time for which leases are renewed without the store
    this->expect_one_run_after_the_other();
}

// A start without an answer was executed seconds later, by a new life that is cut off. The task was
// released when an answered order could not be on its way any more, and ran twice.
TEST_F(coordinator_former_lives_test, a_task_is_held_while_a_start_without_an_answer_may_begin)
{
    this->keep_unanswered_starts();
    this->restart_before_the_start_arrives(this->elect("vm-1"));
    this->run_for(kept_start_execution);
    this->execute_held_start();
    this->expect_one_run_after_a_kept_start(kept_start_execution);
}

// The same, when the restart is not noticed: the run was given up too soon.
TEST_F(coordinator_former_lives_test,
       a_kept_start_that_an_unnoticed_life_executes_does_not_run_twice)
{
    this->keep_unanswered_starts();
    auto& first = this->elect("vm-1");
    this->targets.listed_born_ms["t1"] = 1;
    this->restart_before_the_start_arrives(first);
    this->run_for(kept_start_execution);
    this->execute_held_start();
    this->expect_one_run_after_a_kept_start(kept_start_execution);
}

// The same, when the coordinator fails before it knows that there is no answer: its successor
// waited for leases only, as the target is not known to have restarted.
TEST_F(coordinator_former_lives_test, a_successor_waits_for_starts_that_were_on_their_way)
{
    this->keep_unanswered_starts();
    auto& first = this->elect("vm-1");
    this->targets.listed_born_ms["t1"] = 1;
    this->restart_before_the_start_arrives(first);
    this->kill(first);
    this->elect("vm-2");
    this->run_for(kept_start_execution);
    this->execute_held_start();
    this->run_for(milliseconds(1500)); // the time for which leases are renewed without the store
    this->expect_one_run_after_a_kept_start(kept_start_execution);
}

// The same, when it fails later, after other tasks were placed: the placements do not tell that the
// order had no answer unless it was stored.
TEST_F(coordinator_former_lives_test, a_successor_knows_which_starts_had_no_answer)
{
    this->keep_unanswered_starts();
    auto& first = this->elect("vm-1");
    this->targets.listed_born_ms["t1"] = 1;
    this->restart_before_the_start_arrives(first);
    this->add_target("t3");
    this->targets.publish_targets();
    this->run_for(milliseconds(1000));
    this->submit(first, "v", {this->tasks(1, 1)});
    this->run_for(milliseconds(1300));
    this->submit(first, "u", {this->tasks(1, 1)});
    this->run_for(milliseconds(300));
    this->kill(first);
    this->elect("vm-2");
    this->targets.end_all("t2", target_view::ending::done);
    this->targets.end_all("t3", target_view::ending::done);
    this->run_for(milliseconds(2200)); // beyond the time for leases without the store
    ASSERT_EQ(this->targets.running("w"), 0);
    this->execute_held_start();
    this->run_for(target_lease_limit - milliseconds(200));
    this->expect_no_second_run();
    this->run_for(milliseconds(6500));
    EXPECT_EQ(this->targets.running("w"), 1);
}

// Liveness: a start that was answered is not waited for longer because others may be kept.
TEST_F(coordinator_former_lives_test, a_run_whose_start_was_answered_is_replaced_sooner)
{
    this->unanswered_start_limit = milliseconds(60'000);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    while (this->targets.targets["t1"]->running.empty())
        this->run_for(milliseconds(1));
    this->run_for(milliseconds(20));
    this->add_target("t2");
    this->targets.publish_targets();
    this->targets.targets["t1"]->unresponsive = true;
    this->expect_one_run_after_the_other();
}

// Liveness: a target refuses a ticket that has expired, so that a start that carries one does not
// keep its task from running elsewhere.
TEST_F(coordinator_former_lives_test, a_start_with_a_ticket_is_replaced_sooner)
{
    this->unanswered_start_limit = milliseconds(60'000);
    this->configuration->queues.front().needs_advice = true;
    auto& first = this->elect("vm-1");
    first.active_coordinator->advice_dispatch().add_vm(
        "vm-1", [](const advice_question& question, milliseconds,
                   const advice_dispatcher::answer_callback& done) {
            advice_answer answer{.answered = true, .valid_ms = 2000};
            for (const auto& name : question.targets)
                answer.granted.push_back({name, "ticket"});
            done(answer);
        });
    this->restart_before_the_start_arrives(first);
    ASSERT_FALSE(this->held->ticket.empty());
    this->run_for(replaced_by);
    EXPECT_EQ(this->targets.targets["t2"]->running.size(), 1);
}

// Liveness: a successor waits longer only for starts that may have had no answer.
TEST_F(coordinator_former_lives_test, a_successor_does_not_wait_for_starts_that_were_answered)
{
    this->unanswered_start_limit = milliseconds(60'000);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.targets["t1"]->running.size(), 1);
    this->add_target("t2").report.capacity.processors_milli = 3000;
    this->targets.publish_targets();
    for (const auto* id : {"u", "v"}) { // their batches show when that of "w" was stored
        this->submit(first, id, {this->tasks(1, 1)});
        this->run_for(milliseconds(1200));
    }
    this->targets.targets["t1"]->unresponsive = true;
    this->kill(first);
    this->elect("vm-2");
    this->run_for(this->task_lease + milliseconds(1500) + milliseconds(1500));
    EXPECT_EQ(this->targets.targets["t2"]->running.size(), 3);
    this->expect_no_second_run();
}

// A run that a poll has shown is not one of a next life, and does not wait for its lease.
TEST_F(coordinator_former_lives_test, a_run_that_was_listed_is_replaced_when_its_lease_has_expired)
{
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(target_lease_limit); // which a new coordinator assumes at its first poll
    ASSERT_EQ(this->targets.targets["t1"]->running.size(), 1);
    this->add_target("t2");
    this->targets.publish_targets();
    this->targets.targets["t1"]->unresponsive = true;
    this->run_for(this->task_lease + milliseconds(1000));
    this->expect_no_second_run();
    EXPECT_EQ(this->targets.targets["t2"]->running.size(), 1);
}

} // namespace
} // namespace verbenalever
