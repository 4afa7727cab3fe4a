// Losses: of coordinators, targets, answers and the store.

#include "coordinator/target_session.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>

#include <utility>

namespace verbenalever {
namespace {

class coordinator_recovery_test : public coordinator_fixture {
protected:
    /// Have a gang ask again with room kept for it, let the targets go and come back, answer it,
    /// and see that no target is given more than it has.
    /// @param come_back lets the targets go and come back
    void expect_kept_room_forgotten(const std::function<void()>& come_back)
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
            this->targets.add(name, 4000).work = milliseconds(0);
        auto& first = this->elect("vm-1");
        std::vector<std::pair<advice_question, advice_dispatcher::answer_callback>> open;
        first.duty->advice_dispatch().add_vm("vm-1",
                                             [&open](const advice_question& question, milliseconds,
                                                     advice_dispatcher::answer_callback done) {
                                                 open.emplace_back(question, done);
                                             });
        const auto answer = [&open](std::int64_t valid_ms) {
            const auto [question, done] = open.back();
            open.clear();
            advice_answer told{.answered = true, .valid_ms = valid_ms};
            for (const auto& name : question.targets)
                told.granted.push_back({name, "ticket"});
            done(told);
        };
        this->submit(first, "gang", {this->tasks(2, 3, true)}, "advised");
        this->run_for(milliseconds(100));
        ASSERT_FALSE(open.empty());
        answer(1); // lapsed at once: room is kept while it is asked again
        this->run_for(milliseconds(100));
        ASSERT_FALSE(open.empty());
        come_back();
        this->run_for(milliseconds(100));
        answer(10'000);
        this->run_for(milliseconds(600));
        this->submit(first, "other", {this->tasks(20, 1)});
        this->run_for(milliseconds(500));
        EXPECT_TRUE(this->targets.breaches.empty()) << this->targets.breaches.front();
        EXPECT_EQ(this->targets.running("gang"), 2);
        EXPECT_EQ(this->targets.running("other"), 10);
    }
};

// A gang's second end, or one of a workflow whose end was on its way to the store, used to be
// acknowledged at once; a coordinator that died then left neither record nor end.
TEST_F(coordinator_recovery_test, no_end_is_acknowledged_before_what_follows_from_it_is_kept)
{
    this->targets.add("t1", 4000).work = milliseconds(0);
    this->targets.add("t2", 4000).work = milliseconds(0);
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
    EXPECT_EQ(this->targets.starts, 2);
    EXPECT_TRUE(this->targets.breaches.empty()) << this->targets.breaches.front();
}

TEST_F(coordinator_recovery_test, a_successor_adopts_what_runs_and_starts_nothing_twice)
{
    for (const auto* name : {"t1", "t2", "t3"})
        this->targets.add(name, 8000).work = milliseconds(900);
    auto& first = this->elect("vm-1");
    for (int number = 0; number < 6; ++number)
        this->submit(first, "w" + std::to_string(number), {this->tasks(3, 1)});
    this->run_for(milliseconds(200));
    EXPECT_EQ(this->targets.starts, 18);
    this->kill(first);
    auto& second = this->elect("vm-2");
    this->run_for(milliseconds(1200));
    for (int number = 0; number < 6; ++number)
        EXPECT_EQ(this->state(second, "w" + std::to_string(number)), workflow_state::completed);
    EXPECT_EQ(this->targets.starts, 18);
    EXPECT_TRUE(this->targets.breaches.empty()) << this->targets.breaches.front();
}

TEST_F(coordinator_recovery_test, only_tasks_that_may_be_on_a_silent_target_wait_for_it)
{
    this->targets.add("t1", 1000).work = milliseconds(0);
    this->targets.add("t2", 1000).work = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "placed", {this->tasks(2, 1)});
    this->run_for(milliseconds(200));
    this->submit(first, "queued", {this->tasks(1, 1)});
    this->run_for(milliseconds(100));
    this->targets.targets["t1"]->silent = true;
    this->kill(first);
    auto& second = this->elect("vm-2");
    this->targets.end_all("t2", target_view::ending::done);
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.running("queued"), 1);
    EXPECT_EQ(this->targets.starts, 3);
    EXPECT_TRUE(this->targets.breaches.empty()) << this->targets.breaches.front();
    EXPECT_EQ(this->state(second, "placed"), workflow_state::running);
}

// Placements of an earlier life of a target used to be taken for those of its present one.
TEST_F(coordinator_recovery_test, a_silent_target_that_was_reborn_before_is_waited_for)
{
    auto& reborn = this->targets.add("t1", 1000);
    reborn.work = milliseconds(0);
    this->targets.add("t2", 1000).work = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(2, 1)});
    this->run_for(milliseconds(200));
    reborn.running.clear();
    reborn.report.born_ms = 2;
    this->targets.tell_list();
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.running("w"), 2);
    this->targets.add("t3", 1000).work = milliseconds(0);
    reborn.silent = true;
    this->kill(first);
    this->elect("vm-2");
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.running("w"), 2);
    EXPECT_TRUE(this->targets.breaches.empty()) << this->targets.breaches.front();
}

// Looks that got no answer used to go on naming a later end of the lease, which so never came.
TEST_F(coordinator_recovery_test,
       tasks_of_a_target_that_is_gone_run_again_once_their_lease_has_lapsed)
{
    this->targets.add("t1", 1000).work = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("w"), 1);
    auto& gone = *this->targets.targets["t1"];
    gone.silent = true;
    gone.running.clear();
    this->targets.add("t2", 1000).work = milliseconds(0);
    this->targets.tell_list();
    this->run_for(milliseconds(700));
    EXPECT_EQ(this->targets.running("w"), 0) << "before the lease can have lapsed";
    this->run_for(milliseconds(4000));
    EXPECT_EQ(this->targets.running("w"), 1);
}

// A failed run whose end was recorded but not acknowledged used to count again after a hand-over.
TEST_F(coordinator_recovery_test, a_failed_run_counts_once_for_all_coordinators)
{
    auto& target = this->targets.add("t1", 4000);
    target.work = milliseconds(0);
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    this->targets.end_all("t1", target_view::ending::failed);
    // The record is kept, and the process is gone before its next look acknowledges the end.
    const auto kept = [this] {
        return this->store.items.lower_bound("v/e/") != this->store.items.lower_bound("v/e0");
    };
    while (!kept())
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

// A slow store kept nothing of two failures; their ends come from two targets, the later run first.
TEST_F(coordinator_recovery_test, failed_runs_count_in_whatever_order_their_ends_are_listed)
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
    earlier.silent = true;
    timer heard(this->loop, [&earlier] { earlier.silent = false; });
    heard.start_once(milliseconds(400));
    auto& second = this->elect("vm-2");
    EXPECT_EQ(this->state(second, "w"), workflow_state::running);
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->state(second, "w"), workflow_state::failed);
}

// A submission taken back while the store was away used to leave its placed tasks behind.
TEST_F(coordinator_recovery_test, submissions_are_refused_truly_while_the_store_is_away)
{
    this->targets.add("t1", 8000);
    auto& first = this->elect("vm-1");
    first.members_here = true; // so that it stays while the store is away
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
    EXPECT_EQ(this->targets.starts, 1);
}

// Room kept for a gang on a target that then started again was given back to its new life, which
// had kept none: it counted as having more room than it has.
TEST_F(coordinator_recovery_test,
       room_kept_on_an_earlier_life_of_a_target_is_not_given_back_to_the_next)
{
    this->expect_kept_room_forgotten([this] {
        for (const auto* name : {"t1", "t2", "t3", "t4"})
            this->targets.start_again(name);
    });
}

// Load pattern: a zone is cut off for some seconds, and the entries of its targets lapse in the
// platform's list. When they were back, room kept before for a gang was given back to them a second
// time, and they were given more than they have (three hunted days, each 1.5 s after the cut).
TEST_F(coordinator_recovery_test,
       room_kept_before_a_target_was_off_the_list_is_not_given_back_twice)
{
    this->expect_kept_room_forgotten([this] {
        auto away = std::move(this->targets.targets);
        this->targets.targets.clear();
        this->targets.tell_list();
        this->run_for(milliseconds(500));
        this->targets.targets = std::move(away);
        this->targets.tell_list();
    });
}

// A start without an end of the lease used to be sent to a target that had just fallen silent. Held
// up on its way, it was carried out under a lease renewed later, when the task ran elsewhere.
TEST_F(coordinator_recovery_test, no_start_is_ordered_without_a_lease)
{
    this->targets.add("t1", 1000).work = milliseconds(0);
    this->targets.add("t2", 1000).work = milliseconds(0);
    auto& first = this->elect("vm-1");
    int without = 0;
    this->targets.on_start_authority = [&without](const order_authority& authority) {
        without += authority.lease_until_ms == 0 ? 1 : 0;
    };
    this->submit(first, "running", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    // Its place is kept slowly; meanwhile the target stops to answer.
    constexpr int held_back = 2;
    this->store.transactions_late = held_back;
    this->submit(first, "w", {this->tasks(1, 1)});
    while (this->store.transactions_late == held_back)
        this->run_for(milliseconds(1));
    for (const auto* name : {"t1", "t2"})
        this->targets.targets[name]->silent = true;
    this->run_for(milliseconds(2500));
    for (const auto* name : {"t1", "t2"})
        this->targets.targets[name]->silent = false;
    this->run_for(milliseconds(2500));
    EXPECT_EQ(without, 0);
    EXPECT_EQ(this->targets.running("w"), 1);
    EXPECT_TRUE(this->targets.breaches.empty()) << this->targets.breaches.front();
}

// Load pattern: the store is away for five seconds during a rolling stop, so that members are
// missing. The coordinator used to step down though nobody could replace it, and its successor had
// to load all and to hear every target.
TEST_F(coordinator_recovery_test, a_coordinator_outlasts_a_store_that_is_away_from_everybody)
{
    this->targets.add("t1", 4000).work = milliseconds(0);
    auto& first = this->elect("vm-1");
    first.members_here = false;
    this->submit(first, "before", {this->tasks(1, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("before"), 1);
    const auto lease_before = this->targets.targets["t1"]->lease_until_ms;
    auto* const duty = first.duty.get();
    this->store.down = true;
    this->run_for(milliseconds(3000));
    // Its leases have run out by now as far as it knows: another might have taken over.
    const auto lease_away = this->targets.targets["t1"]->lease_until_ms;
    EXPECT_LT(lease_away - lease_before, 2000);
    this->run_for(milliseconds(2000));
    EXPECT_EQ(this->targets.targets["t1"]->lease_until_ms, lease_away);
    EXPECT_EQ(first.duty.get(), duty);
    this->store.down = false;
    this->run_for(milliseconds(500));
    EXPECT_EQ(first.duty.get(), duty);
    this->submit(first, "after", {this->tasks(1, 1)});
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->targets.running("after"), 1);
    EXPECT_TRUE(this->targets.breaches.empty()) << this->targets.breaches.front();
}

// One that the store does not answer may have been replaced: that it does not know a workflow says
// nothing, and the entry reads the store instead.
TEST_F(coordinator_recovery_test, without_word_from_the_store_no_workflow_is_called_unknown)
{
    auto& first = this->elect("vm-1");
    first.members_here = false;
    std::optional<call_outcome> answer;
    const auto ask = [&] {
        first.duty->status("never",
                           [&answer](call_outcome outcome, workflow_state) { answer = outcome; });
    };
    ask();
    EXPECT_EQ(answer, call_outcome::not_found);
    this->store.down = true;
    this->run_for(milliseconds(2000));
    ASSERT_NE(first.duty, nullptr);
    ask();
    EXPECT_EQ(answer, call_outcome::refused);
}

} // namespace
} // namespace verbenalever
