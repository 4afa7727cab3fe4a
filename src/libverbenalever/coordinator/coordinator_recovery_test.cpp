// Recovery after the loss of coordinators, targets, answers or the store.

#include "coordinator/target_session.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <thread>
#include <utility>

namespace verbenalever {
namespace {

class coordinator_recovery_test : public coordinator_fixture {
protected:
    /// Reserves resources for a gang while the advisor is asked again, replaces the targets,
    /// answers the question, and expects that no target gets more than its capacity.
    /// @param replace_targets removes the targets and adds them again
    void expect_reservation_released_once(const std::function<void()>& replace_targets)
    {
        this->configuration->queues.push_back({.name = "advised",
                                               .pool = "pool",
                                               .priority = 1,
                                               .attempts = 3,
                                               .latency_objective = milliseconds(5000),
                                               .needs_advice = true,
                                               .advice_base_ms = 1,
                                               .advice_target_ms = 1});
        for (const auto* name : {"t1", "t2", "t3", "t4"})
            this->targets.add(name, 4000).task_duration = milliseconds(0);
        auto& first = this->elect("vm-1");
        std::vector<std::pair<advice_question, advice_dispatcher::answer_callback>> open;
        first.active_coordinator->advice_dispatch().add_vm(
            "vm-1", [&open](const advice_question& question, milliseconds,
                            advice_dispatcher::answer_callback done) {
                open.emplace_back(question, done);
            });
        const auto answer = [&open](std::int64_t valid_ms) {
            const auto [question, done] = open.back();
            open.clear();
            advice_answer given_answer{.answered = true, .valid_ms = valid_ms};
            for (const auto& name : question.targets)
                given_answer.granted.push_back({name, "ticket"});
            done(given_answer);
        };
        this->submit(first, "gang", {this->tasks(2, 3, true)}, "advised");
        this->run_for(milliseconds(100));
        ASSERT_FALSE(open.empty());
        answer(1); // expires at once: resources are reserved while the advisor is asked again
        this->run_for(milliseconds(100));
        ASSERT_FALSE(open.empty());
        replace_targets();
        this->run_for(milliseconds(100));
        answer(10'000);
        this->run_for(milliseconds(600));
        this->submit(first, "other", {this->tasks(20, 1)});
        this->run_for(milliseconds(500));
        EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
        EXPECT_EQ(this->targets.running("gang"), 2);
        EXPECT_EQ(this->targets.running("other"), 10);
    }
};

// The second end of a gang, or an end of a workflow whose own end was not stored yet, must not be
// acknowledged at once: if the coordinator then fails, the end is neither stored nor reported
// again.
TEST_F(coordinator_recovery_test, no_end_is_acknowledged_before_its_effects_are_stored)
{
    this->targets.add("t1", 4000).task_duration = milliseconds(0);
    this->targets.add("t2", 4000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "gang", {this->tasks(2, 4, true)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("gang"), 2);
    this->store.down = true;
    this->targets.end_all("t1", target_view::ending::done);
    this->targets.end_all("t2", target_view::ending::done);
    this->run_for(milliseconds(300));
    this->store.down = false;
    this->kill(first);
    auto& second = this->elect("vm-2");
    this->run_for(milliseconds(600));
    EXPECT_EQ(this->state(second, "gang"), workflow_state::completed);
    EXPECT_EQ(this->targets.start_count, 2);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

TEST_F(coordinator_recovery_test, a_successor_adopts_running_tasks_and_starts_none_twice)
{
    for (const auto* name : {"t1", "t2", "t3"})
        this->targets.add(name, 8000).task_duration = milliseconds(900);
    auto& first = this->elect("vm-1");
    for (int number = 0; number < 6; ++number)
        this->submit(first, "w" + std::to_string(number), {this->tasks(3, 1)});
    this->run_for(milliseconds(200));
    EXPECT_EQ(this->targets.start_count, 18);
    this->kill(first);
    auto& second = this->elect("vm-2");
    this->run_for(milliseconds(1200));
    for (int number = 0; number < 6; ++number)
        EXPECT_EQ(this->state(second, "w" + std::to_string(number)), workflow_state::completed);
    EXPECT_EQ(this->targets.start_count, 18);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

TEST_F(coordinator_recovery_test, only_tasks_that_may_run_on_an_unreachable_target_wait_for_it)
{
    this->targets.add("t1", 1000).task_duration = milliseconds(0);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "placed", {this->tasks(2, 1)});
    this->run_for(milliseconds(200));
    this->submit(first, "queued", {this->tasks(1, 1)});
    this->run_for(milliseconds(100));
    this->targets.targets["t1"]->unresponsive = true;
    this->kill(first);
    auto& second = this->elect("vm-2");
    this->targets.end_all("t2", target_view::ending::done);
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.running("queued"), 1);
    EXPECT_EQ(this->targets.start_count, 3);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
    EXPECT_EQ(this->state(second, "placed"), workflow_state::running);
}

// A successor showed a workflow at work as queued until its targets answered.
TEST_F(coordinator_recovery_test, a_successor_shows_no_workflow_at_work_as_queued)
{
    this->targets.add("t1", 1000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "placed", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->state(first, "placed"), workflow_state::running);
    this->targets.targets["t1"]->unresponsive = true;
    this->kill(first);
    auto& second = this->elect("vm-2");
    EXPECT_EQ(this->state(second, "placed"), workflow_state::running);
}

// A process that was elected before it had read the operators' configuration started tasks without
// the advisor's leave and beyond their team's limit.
TEST_F(coordinator_recovery_test, a_coordinator_without_a_configuration_starts_nothing)
{
    this->configuration->teams[0].limit = {.processors_milli = 2000};
    this->targets.add("t1", 4000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "limited", {this->tasks(4, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("limited"), 2);
    this->kill(first);
    const auto configuration =
        std::exchange(this->configuration, std::make_shared<fleet_configuration>());
    auto& second = this->elect("vm-2");
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.start_count, 2);
    second.active_coordinator->apply_configuration(configuration);
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.start_count, 2);
    EXPECT_EQ(this->state(second, "limited"), workflow_state::running);
    this->targets.end_all("t1", target_view::ending::done);
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.start_count, 4);
}

// Jobs whose starts went to lost targets were left out of the number of waiting jobs after a
// hand-over, although no task of them had started: a stored placement was taken for a start.
TEST_F(coordinator_recovery_test, a_placement_alone_does_not_end_the_wait_of_a_workflow)
{
    this->targets.add("t1", 8000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "runs", {this->tasks(1, 1)}, "slow");
    this->run_for(milliseconds(200));
    this->targets.targets["t1"]->unresponsive = true;
    for (int number = 0; number < 3; ++number)
        this->submit(first, "w" + std::to_string(number), {this->tasks(1, 1)}, "slow");
    this->run_for(milliseconds(100));
    ASSERT_EQ(this->targets.start_count, 4);
    EXPECT_EQ(first.active_coordinator->count_waiting("slow"), 3);
    this->kill(first);
    auto& second = this->elect("vm-2");
    EXPECT_GE(second.active_coordinator->count_waiting("slow"), 3);
    this->targets.targets["t1"]->unresponsive = false;
    this->run_for(milliseconds(1200));
    EXPECT_EQ(this->targets.running("w0"), 1);
    EXPECT_EQ(second.active_coordinator->count_waiting("slow"), 0);
}

// The same by way of a crash that was stored for a run whose start was never confirmed.
TEST_F(coordinator_recovery_test, an_unconfirmed_crash_does_not_end_the_wait_of_a_workflow)
{
    auto& target = this->targets.add("t1", 8000);
    target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    target.unresponsive = true; // the start is sent, and neither executed nor answered
    this->submit(first, "w", {this->tasks(1, 1)}, "slow");
    this->run_for(milliseconds(100));
    ASSERT_EQ(this->targets.start_count, 1);
    this->targets.restart("t1");
    this->run_for(milliseconds(400));
    EXPECT_EQ(first.active_coordinator->count_waiting("slow"), 1);
    this->kill(first);
    auto& second = this->elect("vm-2");
    EXPECT_EQ(second.active_coordinator->count_waiting("slow"), 1);
}

// Until a target answers, a successor counts what its predecessor may have started there against
// the team's limit. Cancelling the workflow in the meantime must not leave it counted for good.
TEST_F(coordinator_recovery_test, a_workflow_cancelled_during_adoption_frees_its_teams_limit)
{
    this->configuration->teams[0].limit = {.processors_milli = 4000};
    this->targets.add("t1", 4000).task_duration = milliseconds(0);
    this->targets.add("t2", 4000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "cancelled", {this->tasks(4, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("cancelled"), 4);
    for (const auto* name : {"t1", "t2"})
        this->targets.targets[name]->unresponsive = true;
    this->kill(first);
    auto& second = this->elect("vm-2");
    second.active_coordinator->cancel("cancelled", [](call_outcome) {});
    this->submit(second, "gang", {this->tasks(4, 1, true)});
    for (const auto* name : {"t1", "t2"})
        this->targets.targets[name]->unresponsive = false;
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.running("cancelled"), 0);
    EXPECT_EQ(this->targets.running("gang"), 4);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// Placements from before a restart of a target must not be taken for current ones.
TEST_F(coordinator_recovery_test, an_unreachable_target_that_was_restarted_is_waited_for)
{
    auto& restarted_target = this->targets.add("t1", 1000);
    restarted_target.task_duration = milliseconds(0);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(2, 1)});
    this->run_for(milliseconds(200));
    restarted_target.running.clear();
    restarted_target.report.born_ms = 2;
    this->targets.publish_targets();
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.running("w"), 2);
    this->targets.add("t3", 1000).task_duration = milliseconds(0);
    restarted_target.unresponsive = true;
    this->kill(first);
    this->elect("vm-2");
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.running("w"), 2);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// Polls without an answer must not move the assumed expiry of the lease, which would never come.
TEST_F(coordinator_recovery_test, tasks_of_a_lost_target_run_again_after_their_lease_has_expired)
{
    this->targets.add("t1", 1000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("w"), 1);
    auto& lost_target = *this->targets.targets["t1"];
    lost_target.unresponsive = true;
    lost_target.running.clear();
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    this->targets.publish_targets();
    this->run_for(milliseconds(700));
    EXPECT_EQ(this->targets.running("w"), 0) << "before the lease can have expired";
    this->run_for(milliseconds(4000));
    EXPECT_EQ(this->targets.running("w"), 1);
}

// A failed run whose end is stored but not acknowledged must not count again at the successor.
TEST_F(coordinator_recovery_test, a_failed_run_counts_once_for_all_coordinators)
{
    auto& target = this->targets.add("t1", 4000);
    target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    this->targets.end_all("t1", target_view::ending::failed);
    // The end is stored, and the process stops before its next poll acknowledges it.
    const auto end_stored = [this] {
        return this->store.items.lower_bound("v/e/") != this->store.items.lower_bound("v/e0");
    };
    while (!end_stored())
        this->run_for(milliseconds(1));
    const auto ended = target.ended;
    this->kill(first);
    target.ended = ended;
    auto& second = this->elect("vm-2");
    this->run_for(milliseconds(200));
    for (int again = 0; again < 1; ++again) {
        this->targets.end_all("t1", target_view::ending::failed);
        this->run_for(milliseconds(400));
    }
    EXPECT_EQ(this->state(second, "w"), workflow_state::running);
}

// The store has neither of two failures; two targets report them, the later run first.
TEST_F(coordinator_recovery_test, failed_runs_count_in_any_order_of_their_ends)
{
    this->configuration->queues[0].attempts = 2;
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(100));
    this->kill(first);
    const task_name task{"w", 0, 0, 0};
    auto& earlier = this->targets.add("t1", 0);
    auto& later = this->targets.add("t2", 0);
    earlier.ended = {{1, task, 1, target_view::ending::failed, {}}};
    later.ended = {{1, task, 2, target_view::ending::failed, {}}};
    earlier.unresponsive = true;
    timer answers_again(this->loop, [&earlier] { earlier.unresponsive = false; });
    answers_again.start_once(milliseconds(400));
    auto& second = this->elect("vm-2");
    EXPECT_EQ(this->state(second, "w"), workflow_state::running);
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->state(second, "w"), workflow_state::failed);
}

// A submission refused while the store is unreachable must not leave placed tasks behind.
TEST_F(coordinator_recovery_test, submissions_refused_while_the_store_is_unreachable_never_run)
{
    this->targets.add("t1", 8000);
    auto& first = this->elect("vm-1");
    first.all_members_connected =
        true; // so that it keeps coordinating while the store is unreachable
    this->store.down = true;
    this->submit(first, "sent", {this->tasks(1, 1)});
    this->run_for(milliseconds(100));
    for (int number = 0; number < 5; ++number)
        this->submit(first, "w" + std::to_string(number), {this->tasks(2, 1)});
    this->run_for(milliseconds(1000));
    for (int number = 0; number < 5; ++number)
        EXPECT_EQ(this->outcomes["w" + std::to_string(number)], call_outcome::refused);
    EXPECT_FALSE(this->outcomes.contains("sent"));
    this->store.down = false;
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->outcomes["sent"], call_outcome::accepted);
    EXPECT_EQ(this->targets.start_count, 1);
}

// A submission was answered as refused and a successor ran it: its caller had cancelled it while
// its record was on the way to the store, and the record of the cancel was taken for its only one.
TEST_F(coordinator_recovery_test, a_submission_cancelled_while_it_is_stored_is_not_refused)
{
    this->targets.add("t1", 8000);
    auto& first = this->elect("vm-1");
    first.all_members_connected = true;
    this->submit(first, "earlier", {this->tasks(1, 1)});
    this->run_for(milliseconds(300));
    this->store.down = true;
    this->submit(first, "other", {this->tasks(1, 1)});
    this->submit(first, "cancelled", {this->tasks(2, 1)});
    this->run_for(milliseconds(300));
    bool cancel_acknowledged = false;
    first.active_coordinator->cancel("cancelled", [&](call_outcome outcome) {
        cancel_acknowledged = outcome == call_outcome::accepted;
    });
    this->run_for(milliseconds(1000));
    EXPECT_FALSE(this->outcomes.contains("cancelled"));
    EXPECT_FALSE(cancel_acknowledged);
    this->store.down = false;
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->outcomes["cancelled"], call_outcome::accepted);
    EXPECT_TRUE(cancel_acknowledged);
    this->kill(first);
    auto& second = this->elect("vm-2");
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->state(second, "cancelled"), workflow_state::cancelled);
    EXPECT_EQ(this->state(second, "other"), workflow_state::completed);
    EXPECT_EQ(this->targets.start_count, 2);
}

// The same, when the coordinator is replaced before the store is back.
TEST_F(coordinator_recovery_test, a_submission_stored_after_its_coordinator_is_gone_was_not_refused)
{
    this->targets.add("t1", 8000);
    auto& first = this->elect("vm-1");
    first.all_members_connected = true;
    this->store.transactions_to_delay = 100;
    this->submit(first, "other", {this->tasks(1, 1)});
    this->submit(first, "cancelled", {this->tasks(2, 1)});
    this->run_for(milliseconds(300));
    first.active_coordinator->cancel("cancelled", [](call_outcome) {});
    this->run_for(milliseconds(1000));
    const bool refused = this->outcomes.contains("cancelled") &&
                         this->outcomes["cancelled"] == call_outcome::refused;
    this->store.transactions_to_delay = 0;
    this->store.apply_delayed_transactions();
    this->kill(first);
    this->elect("vm-2");
    this->run_for(milliseconds(500));
    EXPECT_FALSE(refused && this->targets.start_count > 1);
}

// A reservation on a target that was restarted since must not be released on the restarted target,
// which holds none: the target would count as having more free resources than it has.
TEST_F(coordinator_recovery_test, a_reservation_is_not_released_on_a_target_restarted_since)
{
    this->expect_reservation_released_once([this] {
        for (const auto* name : {"t1", "t2", "t3", "t4"})
            this->targets.restart(name);
    });
}

// Load pattern: a zone is unreachable for some seconds, and its targets expire from the platform's
// list. When they return, a gang's earlier reservation must not be released a second time: the
// targets would get more than their capacity (seen three times in fault runs, each 1.5 s after the
// cut).
TEST_F(coordinator_recovery_test,
       a_reservation_is_not_released_twice_when_a_target_returns_to_the_list)
{
    this->expect_reservation_released_once([this] {
        auto removed_targets = std::move(this->targets.targets);
        this->targets.targets.clear();
        this->targets.publish_targets();
        this->run_for(milliseconds(500));
        this->targets.targets = std::move(removed_targets);
        this->targets.publish_targets();
    });
}

// No start without a lease expiry may be sent to a target that has just become unreachable. If it
// is delayed, the target carries it out under a lease renewed later, when the task runs elsewhere.
TEST_F(coordinator_recovery_test, no_start_is_ordered_without_a_lease)
{
    this->targets.add("t1", 1000).task_duration = milliseconds(0);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    int starts_without_lease = 0;
    this->targets.on_start_authority = [&starts_without_lease](const order_authority& authority) {
        starts_without_lease += authority.lease_until_ms == 0 ? 1 : 0;
    };
    this->submit(first, "running", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    // The placement is stored slowly; meanwhile the targets stop answering.
    constexpr int delayed_transactions = 2;
    this->store.transactions_to_delay = delayed_transactions;
    this->submit(first, "w", {this->tasks(1, 1)});
    while (this->store.transactions_to_delay == delayed_transactions)
        this->run_for(milliseconds(1));
    for (const auto* name : {"t1", "t2"})
        this->targets.targets[name]->unresponsive = true;
    this->run_for(milliseconds(2500));
    for (const auto* name : {"t1", "t2"})
        this->targets.targets[name]->unresponsive = false;
    this->run_for(milliseconds(2500));
    EXPECT_EQ(starts_without_lease, 0);
    EXPECT_EQ(this->targets.running("w"), 1);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// Load pattern: the store is unreachable for five seconds during a rolling restart, so that members
// are missing. The coordinator must not resign, since none can replace it and its successor would
// have to load everything and poll every target.
TEST_F(coordinator_recovery_test, a_coordinator_does_not_resign_while_no_process_reaches_the_store)
{
    this->targets.add("t1", 4000).task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    first.all_members_connected = false;
    this->submit(first, "before", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("before"), 1);
    const auto lease_before = this->targets.targets["t1"]->lease_until_ms;
    auto* const active_coordinator = first.active_coordinator.get();
    this->store.down = true;
    this->run_for(milliseconds(3000));
    // By now another coordinator may have been elected, so the leases are not renewed any more.
    const auto lease_away = this->targets.targets["t1"]->lease_until_ms;
    EXPECT_LT(lease_away - lease_before, 2000);
    this->run_for(milliseconds(2000));
    EXPECT_EQ(this->targets.targets["t1"]->lease_until_ms, lease_away);
    EXPECT_EQ(first.active_coordinator.get(), active_coordinator);
    this->store.down = false;
    this->run_for(milliseconds(500));
    EXPECT_EQ(first.active_coordinator.get(), active_coordinator);
    this->submit(first, "after", {this->tasks(1, 1)});
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->targets.running("after"), 1);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// A coordinator without an answer from the store may have been replaced, so that a workflow it does
// not know may exist. It refuses to answer, and the entry daemon reads the store instead.
TEST_F(coordinator_recovery_test,
       no_workflow_is_reported_not_found_without_an_answer_from_the_store)
{
    auto& first = this->elect("vm-1");
    first.all_members_connected = false;
    std::optional<call_outcome> answer;
    const auto ask = [&] {
        first.active_coordinator->status(
            "never", [&answer](call_outcome outcome, workflow_state) { answer = outcome; });
    };
    ask();
    EXPECT_EQ(answer, call_outcome::not_found);
    this->store.down = true;
    this->run_for(milliseconds(2000));
    ASSERT_NE(first.active_coordinator, nullptr);
    ask();
    EXPECT_EQ(answer, call_outcome::refused);
}

// A task must not run twice because its target missed an answer: leases that an earlier coordinator
// granted last on although this one has not granted any.
TEST_F(coordinator_recovery_test, leases_of_an_earlier_coordinator_are_waited_for)
{
    this->task_lease = milliseconds(8000);
    auto& adopted_target = this->targets.add("t1", 1000);
    adopted_target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("w"), 1);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    adopted_target.unresponsive = true;
    this->kill(first);
    this->elect("vm-2");
    this->store.down = true;
    this->run_for(milliseconds(1700)); // by then the successor may not renew leases
    adopted_target.unresponsive = false;
    this->run_for(milliseconds(1000));
    adopted_target.unresponsive = true;
    this->run_for(milliseconds(1300));
    this->store.down = false;
    this->run_for(milliseconds(1000));
    EXPECT_EQ(this->targets.running("w"), 1);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// A task must not run twice because the registration of an earlier life of its target was written
// late.
TEST_F(coordinator_recovery_test, an_outdated_registration_ends_no_run)
{
    this->targets.add("t1", 1000).task_duration = milliseconds(0);
    this->targets.restart("t1");
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("w"), 1);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    this->targets.listed_born_ms["t1"] = 1;
    this->targets.publish_targets();
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("w"), 1);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
    this->targets.listed_born_ms.clear();
    this->targets.publish_targets();
    this->targets.end_all("t1", target_view::ending::done);
    this->run_for(milliseconds(200));
    EXPECT_EQ(this->state(first, "w"), workflow_state::completed);
}

// A task must not run twice because a successor reads the registration of an earlier life of its
// target.
TEST_F(coordinator_recovery_test, an_outdated_registration_does_not_end_the_wait_for_a_target)
{
    auto& restarted_target = this->targets.add("t1", 1000);
    restarted_target.task_duration = milliseconds(0);
    this->targets.restart("t1");
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("w"), 1);
    this->targets.add("t2", 1000).task_duration = milliseconds(0);
    restarted_target.unresponsive = true;
    this->targets.listed_born_ms["t1"] = 1;
    this->kill(first);
    this->elect("vm-2");
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("w"), 1);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// A start that is repeated without a lease may be executed late, under a lease that is renewed
// later, while the task runs elsewhere.
TEST_F(coordinator_recovery_test, a_paused_coordinator_repeats_no_start_without_a_lease)
{
    auto& target = this->targets.add("t1", 1000);
    target.task_duration = milliseconds(0);
    auto& first = this->elect("vm-1");
    int starts_without_lease = 0;
    this->targets.on_start_authority = [&starts_without_lease](const order_authority& authority) {
        starts_without_lease += authority.lease_until_ms == 0 ? 1 : 0;
    };
    target.unresponsive = true;
    this->submit(first, "w", {this->tasks(1, 1)});
    while (this->targets.start_count == 0)
        this->run_for(milliseconds(1));
    this->store.down = true;
    std::this_thread::sleep_for(milliseconds(1700));
    this->run_for(milliseconds(100));
    EXPECT_EQ(starts_without_lease, 0);
}

} // namespace
} // namespace verbenalever
