#include "coordination/leadership.h"

#include "coordination/commit_chain.h"
#include "loop/event_loop.h"
#include "loop/timer.h"
#include "testing/fake_store.h"
#include "testing/loop_fixture.h"
#include "timeline/event_log.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>

namespace verbenalever {
namespace {

/// A process that takes part in the election.
struct candidate {
    candidate(event_loop& loop, metadata_store& store, const event_log& log, const std::string& vm)
        : election(loop, store, log, "v/", {vm, "127.0.0.1:1", {}},
                   {.won =
                        [this](std::int64_t term, commit_chain& chain) {
                            this->terms.push_back(term);
                            this->chain = &chain;
                        },
                    .lost = [this] { ++this->losses; },
                    .coordinator_changed = [](const std::optional<coordinator_record>&) {},
                    .coordinator_heard = [] { return false; },
                    .candidacy_delay = [this] { return this->candidacy_delay; }})
    {
        this->election.start();
    }

    std::vector<std::int64_t> terms;
    commit_chain* chain = nullptr; ///< of the last term of this process
    int losses = 0;
    milliseconds candidacy_delay{0};
    leadership election;
};

class leadership_test : public loop_fixture {
protected:
    candidate& coordinator()
    {
        return this->first.election.leads() ? this->first : this->second;
    }

    candidate& member()
    {
        return this->first.election.leads() ? this->second : this->first;
    }

    /// @return the coordinator and the member that has not been elected
    std::pair<candidate&, candidate&> elect()
    {
        this->run_for(milliseconds(400));
        return {this->coordinator(), this->member()};
    }

    /// The member's connections to the coordinator are refused, every 50 ms.
    void refuse_connections(candidate& member, milliseconds span)
    {
        timer refused(this->loop, [&member] {
            member.election.replace_coordinator(coordinator_loss::connection_refused);
        });
        refused.start_repeating(milliseconds(50));
        this->run_for(span);
    }

    fake_store store{this->loop};
    event_log log{"test"};
    candidate first{this->loop, this->store, this->log, "vm-1"};
    candidate second{this->loop, this->store, this->log, "vm-2"};
};

TEST_F(leadership_test, exactly_one_candidate_wins)
{
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->first.terms.size() + this->second.terms.size(), 1);
    EXPECT_NE(this->first.election.leads(), this->second.election.leads());
}

// After the coordinator's process was killed, its key used to block others until its lease expired.
TEST_F(leadership_test, a_coordinator_that_is_gone_is_replaced_before_its_lease_ends)
{
    auto [leader, other] = this->elect();
    const auto term = leader.terms.back();
    other.election.replace_coordinator(coordinator_loss::process_replaced);
    this->run_for(milliseconds(200));
    ASSERT_TRUE(other.election.leads());
    EXPECT_GT(other.terms.back(), term);
    EXPECT_FALSE(leader.election.leads()) << "it is still alive and has read the other's record";
    this->run_for(milliseconds(1500));
    EXPECT_TRUE(other.election.leads());
    EXPECT_EQ(leader.terms.size() + other.terms.size(), 2);
}

// The end of a cut that resets connections used to depose a coordinator that was never away: the
// candidacy of the processes that were cut off waited for the store.
TEST_F(leadership_test, connections_refused_while_the_store_is_away_replace_nobody)
{
    auto [leader, other] = this->elect();
    this->store.down = true;
    this->refuse_connections(other, milliseconds(300));
    this->store.down = false;
    this->run_for(milliseconds(500));
    EXPECT_TRUE(leader.election.leads());
    EXPECT_EQ(leader.losses, 0);
    EXPECT_TRUE(other.terms.empty());
}

// A member whose link to the coordinator alone is cut must not depose it.
TEST_F(leadership_test, a_coordinator_that_writes_is_not_replaced_when_its_connections_are_refused)
{
    auto [leader, other] = this->elect();
    timer writes(this->loop, [&leader = leader] {
        leader.chain->put("v/w/1", [] { return std::string("record"); }, true, {});
    });
    writes.start_repeating(milliseconds(20));
    this->refuse_connections(other, milliseconds(800));
    EXPECT_TRUE(leader.election.leads());
    EXPECT_EQ(leader.losses, 0);
    EXPECT_TRUE(other.terms.empty());
}

TEST_F(leadership_test, an_idle_coordinator_that_refuses_connections_is_replaced_within_its_lease)
{
    auto [leader, other] = this->elect();
    this->refuse_connections(other, leadership::lease_time / 3);
    EXPECT_TRUE(other.election.leads());
    this->run_for(milliseconds(200));
    EXPECT_FALSE(leader.election.leads());
}

// A member that heard the coordinator again used to replace it all the same.
TEST_F(leadership_test, hearing_the_coordinator_cancels_a_candidacy_that_would_replace_it)
{
    auto [leader, other] = this->elect();
    other.candidacy_delay = milliseconds(300);
    this->refuse_connections(other, milliseconds(200));
    other.election.confirm_coordinator();
    this->run_for(milliseconds(700));
    EXPECT_TRUE(leader.election.leads());
    EXPECT_TRUE(other.terms.empty());
}

// A hand-over used to wait behind a transaction that had no answer.
TEST_F(leadership_test, a_coordinator_whose_writes_stall_can_hand_over)
{
    auto [leader, other] = this->elect();
    this->store.transactions_to_delay = 1;
    leader.chain->put("v/w/1", [] { return std::string("record"); }, true, {});
    this->run_for(milliseconds(50));
    EXPECT_GT(leader.election.time_without_answer(), milliseconds(20));
    leader.election.hand_over(milliseconds(5000));
    EXPECT_FALSE(leader.election.is_lease_valid());
    this->run_for(milliseconds(300));
    EXPECT_FALSE(leader.election.leads());
    EXPECT_TRUE(other.election.leads());
    this->store.apply_delayed_transactions();
    EXPECT_EQ(this->store.items.count("v/w/1"), 0) << "the fence rejects it";
}

// After a restart of all processes, the key of the previous coordinator used to block them until
// its lease expired.
TEST_F(leadership_test, a_restarted_process_replaces_its_predecessor_at_once)
{
    this->first.election.retire();
    this->second.election.retire();
    auto former = std::make_unique<candidate>(this->loop, this->store, this->log, "vm-3");
    this->run_for(milliseconds(600));
    ASSERT_TRUE(former->election.leads());
    const auto term = former->terms.back();
    former.reset();
    candidate restarted(this->loop, this->store, this->log, "vm-3");
    this->run_for(milliseconds(300));
    ASSERT_TRUE(restarted.election.leads());
    EXPECT_GT(restarted.terms.back(), term);
}

TEST_F(leadership_test, a_candidacy_delay_lets_others_win_first)
{
    this->first.candidacy_delay = milliseconds(300);
    this->run_for(milliseconds(250));
    EXPECT_TRUE(this->second.election.leads());
    this->second.election.hand_over(milliseconds(5000));
    this->run_for(milliseconds(700));
    EXPECT_TRUE(this->first.election.leads()) << "the other must not be a candidate yet";
}

// A coordinator that is too slow for its backlog hands over. The hand-over used to wait behind all
// records that were not stored yet.
TEST_F(leadership_test, a_hand_over_is_written_before_pending_writes)
{
    auto [leader, other] = this->elect();
    for (int number = 0; number < 3000; ++number)
        leader.chain->put("v/w/" + std::to_string(number), [] { return std::string("record"); },
                          true, {});
    EXPECT_GT(leader.chain->expected_commit_delay(), milliseconds(1500));
    leader.election.hand_over(milliseconds(5000));
    this->run_for(milliseconds(400));
    EXPECT_TRUE(other.election.leads());
    EXPECT_LT(this->store.items.size(), 1000);
}

TEST_F(leadership_test, a_hand_over_starts_a_later_term_elsewhere)
{
    auto [leader, other] = this->elect();
    const auto term = leader.terms.back();
    leader.election.hand_over(milliseconds(5000));
    this->run_for(milliseconds(500));
    EXPECT_FALSE(leader.election.leads());
    EXPECT_EQ(leader.losses, 1);
    ASSERT_TRUE(other.election.leads());
    EXPECT_GT(other.terms.back(), term);
}

TEST_F(leadership_test, a_coordinator_whose_lease_has_ended_restores_its_key_in_the_same_term)
{
    this->run_for(milliseconds(400));
    auto& leader = this->coordinator();
    this->store.down = true;
    this->run_for(milliseconds(200));
    EXPECT_TRUE(leader.election.leads());
    this->store.down = false;
    this->run_for(milliseconds(1200));
    EXPECT_TRUE(leader.election.leads());
    EXPECT_EQ(leader.terms.size(), 1);
    EXPECT_TRUE(leader.election.is_lease_valid());
}

// Guards against tasks that run twice: a coordinator whose lease had ended took the renewal of its
// next one for a proof that nobody had been elected meanwhile, and renewed the leases of its tasks.
TEST_F(leadership_test, a_new_lease_confirms_nothing_until_the_leader_key_is_written_under_it)
{
    auto [leader, other] = this->elect();
    other.election.retire();
    this->store.transactions_to_delay = 1000; // the chain does not learn that the fence is lost
    this->store.expire(this->store.lease_of_key["v/leader"]);
    this->store.items["v/fence"] = {"v/fence", "another tenure", ++this->store.revision, false};
    this->run_for(milliseconds(1600));
    EXPECT_GE(leader.election.time_since_confirmed(), milliseconds(1500));
    EXPECT_FALSE(leader.election.is_lease_valid());
}

TEST_F(leadership_test, a_retired_process_never_becomes_a_candidate_again)
{
    this->run_for(milliseconds(400));
    this->first.election.retire();
    this->second.election.retire();
    this->run_for(milliseconds(600));
    EXPECT_FALSE(this->first.election.leads());
    EXPECT_FALSE(this->second.election.leads());
}

// A process that retired while its claim was in flight used to coordinate until it ended.
TEST_F(leadership_test, a_process_that_retires_while_its_claim_is_in_flight_does_not_coordinate)
{
    this->second.election.retire();
    this->store.commit_delay = milliseconds(200);
    this->run_for(milliseconds(150));
    ASSERT_TRUE(this->store.items.contains("v/leader"));
    this->first.election.retire();
    this->run_for(milliseconds(300));
    EXPECT_TRUE(this->first.terms.empty());
    EXPECT_FALSE(this->store.items.contains("v/leader")) << "others must not wait for its lease";
}

// The restored key used to stay until the end of its lease and name a process that did not
// coordinate any more.
TEST_F(leadership_test, a_hand_over_ends_the_lease_under_which_the_key_is_being_restored)
{
    this->run_for(milliseconds(400));
    auto& leader = this->coordinator();
    this->member().election.retire();
    this->store.commit_delay = milliseconds(300);
    this->store.expire(this->store.lease_of_key["v/leader"]);
    this->run_for(milliseconds(100));
    ASSERT_TRUE(this->store.items.contains("v/leader")) << "restored, without an answer yet";
    leader.election.hand_over(milliseconds(5000));
    this->run_for(milliseconds(50));
    EXPECT_FALSE(leader.election.leads());
    EXPECT_FALSE(this->store.items.contains("v/leader"));
}

// The pause after a hand-over used to keep a fleet of two VMs without a coordinator for 15 s when
// the successor was stopped.
TEST_F(leadership_test, a_process_that_handed_over_replaces_its_successor)
{
    auto [former, successor] = this->elect();
    former.election.hand_over(milliseconds(15'000));
    this->run_for(milliseconds(300));
    ASSERT_TRUE(successor.election.leads());
    successor.election.retire();
    this->run_for(milliseconds(1000));
    EXPECT_TRUE(former.election.leads());
    EXPECT_FALSE(former.election.accepts_hand_over());
}

TEST_F(leadership_test, a_process_that_handed_over_to_nobody_coordinates_again)
{
    this->run_for(milliseconds(400));
    auto& former = this->coordinator();
    this->member().election.retire();
    former.election.hand_over(milliseconds(15'000));
    this->run_for(milliseconds(1000));
    EXPECT_FALSE(former.election.leads()) << "others may still become candidates";
    this->run_for(milliseconds(2000));
    EXPECT_TRUE(former.election.leads());
}

// A claim without an answer used to be repeated after an outage of the store, although the evidence
// was older than the outage.
TEST_F(leadership_test, a_claim_that_the_store_does_not_answer_is_given_up)
{
    auto [leader, other] = this->elect();
    this->store.transactions_to_delay = 1;
    this->refuse_connections(other, milliseconds(250));
    ASSERT_EQ(this->store.transactions_to_delay, 0) << "the claim was sent";
    this->run_for(milliseconds(750)); // it times out after 1 s
    this->store.down = true;
    this->run_for(milliseconds(300));
    this->store.down = false;
    this->run_for(milliseconds(600));
    EXPECT_TRUE(leader.election.leads());
    EXPECT_EQ(leader.losses, 0);
    EXPECT_TRUE(other.terms.empty());
}

// The store's answer to a claim that fails names only keys that exist. A claim on a key that had
// expired used to be repeated unchanged until the next answer to the watch, up to 6 s later.
TEST_F(leadership_test, a_claim_on_a_key_that_has_expired_is_made_again_without_it)
{
    this->first.election.retire();
    this->second.election.retire();
    auto former = std::make_unique<candidate>(this->loop, this->store, this->log, "vm-3");
    this->run_for(milliseconds(600));
    ASSERT_TRUE(former->election.leads());
    candidate other(this->loop, this->store, this->log, "vm-4");
    this->run_for(milliseconds(50));
    former.reset();
    this->store.watches_silent = true;
    other.election.replace_coordinator(coordinator_loss::process_replaced);
    this->store.expire(this->store.lease_of_key["v/leader"]);
    this->run_for(milliseconds(800));
    EXPECT_TRUE(other.election.leads());
}

// Each read of the missing leader key used to restart the delay of a weak VM, so that one whose
// watches failed never became a candidate.
TEST_F(leadership_test, reading_the_leader_key_again_does_not_postpone_a_candidacy)
{
    this->first.election.retire();
    this->second.candidacy_delay = milliseconds(300);
    timer reads(this->loop, [this] { this->second.election.reload_coordinator(); });
    reads.start_repeating(milliseconds(100));
    this->run_for(milliseconds(700));
    EXPECT_TRUE(this->second.election.leads());
}

// The answer to a watch may be six seconds old, so a stalled coordinator asks for a fresh one.
TEST_F(leadership_test, a_check_shows_whether_the_store_answers_now)
{
    this->run_for(milliseconds(400));
    auto& election = this->member().election;
    EXPECT_FALSE(election.store_checked());
    election.check_store();
    this->run_for(milliseconds(20));
    EXPECT_TRUE(election.store_checked());
    this->store.down = true;
    election.check_store();
    this->run_for(milliseconds(20));
    EXPECT_FALSE(election.store_answers());
}

} // namespace
} // namespace verbenalever
