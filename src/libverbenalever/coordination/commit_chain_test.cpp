#include "coordination/commit_chain.h"

#include "loop/timer.h"
#include "testing/fake_store.h"
#include "testing/loop_fixture.h"
#include "timeline/event_log.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

class commit_chain_test : public loop_fixture {
protected:
    commit_chain_test()
    {
        this->store.items["fence"] = {"fence", "me", 1, false};
        this->chain =
            std::make_unique<commit_chain>(this->loop, this->store, this->log, "fence", "me", 1,
                                           [this] { this->has_lost_fence = true; });
    }

    void put(const std::string& key, const std::string& value)
    {
        this->chain->put(
            key, [value] { return value; }, false, [this] { ++this->writes_done; });
    }

    std::int64_t grant_lease()
    {
        this->store.grant_lease(milliseconds(10'000), [](const auto&) {});
        return this->store.last_lease;
    }

    fake_store store{this->loop};
    event_log log{"test"};
    std::unique_ptr<commit_chain> chain;
    bool has_lost_fence = false;
    int writes_done = 0;
};

TEST_F(commit_chain_test, pending_writes_are_batched_up_to_the_transaction_limit)
{
    for (int number = 0; number < 100; ++number)
        this->put("k" + std::to_string(number), "v");
    this->run_for(milliseconds(250));
    EXPECT_EQ(this->writes_done, 100);
    EXPECT_EQ(this->store.commit_count, 4);
    EXPECT_LE(this->store.largest_transaction, store_transaction::max_entries);
}

TEST_F(commit_chain_test, a_lost_answer_does_not_count_as_a_lost_fence)
{
    this->store.responses_to_lose = 2;
    this->put("a", "1");
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->writes_done, 1);
    EXPECT_EQ(this->store.commit_count, 1);
    EXPECT_FALSE(this->has_lost_fence);
}

// The store does not answer for three seconds. By then the resend timeout has grown to two seconds,
// so without resend_if_stalled() submissions were refused for up to two seconds after the store's
// return.
TEST_F(commit_chain_test, a_stalled_transaction_is_resent_once_the_store_answers)
{
    this->store.down = true;
    this->put("a", "1");
    this->run_for(milliseconds(3000));
    EXPECT_TRUE(this->chain->stalled());
    this->store.down = false;
    this->chain->resend_if_stalled(boot_time());
    this->run_for(milliseconds(100));
    EXPECT_EQ(this->writes_done, 1);
    EXPECT_FALSE(this->chain->stalled());
    // Late effects of the earlier attempts must change nothing.
    this->put("b", "2");
    this->run_for(milliseconds(2500));
    EXPECT_EQ(this->writes_done, 2);
    EXPECT_EQ(this->store.commit_count, 2);
    EXPECT_FALSE(this->has_lost_fence);
}

// Load pattern: the store returns soon after an attempt was lost. The answer to a later call shows
// that, and the next attempt must not wait for the timeout.
TEST_F(commit_chain_test, a_stalled_transaction_is_resent_once_a_later_call_is_answered)
{
    this->store.down = true;
    this->put("a", "1");
    this->run_for(milliseconds(1200)); // the last attempt was sent some 150 ms ago
    EXPECT_TRUE(this->chain->stalled());
    this->store.down = false;
    this->chain->resend_if_stalled(boot_time() - milliseconds(1000));
    this->run_for(milliseconds(50));
    EXPECT_EQ(this->writes_done, 0) << "the answered call was sent before the last attempt";
    this->chain->resend_if_stalled(boot_time());
    this->run_for(milliseconds(50));
    EXPECT_EQ(this->writes_done, 1);
}

TEST_F(commit_chain_test, a_delayed_transaction_does_not_overwrite_a_newer_one)
{
    this->store.transactions_to_delay = 1;
    this->put("a", "old");
    this->run_for(milliseconds(300));
    this->put("a", "new");
    this->run_for(milliseconds(100));
    this->store.apply_delayed_transactions();
    EXPECT_EQ(this->store.items["a"].value, "new");
    EXPECT_EQ(this->writes_done, 2);
}

// Full transactions used to wait for the gap that lets others gather writes, which slowed a
// backlog.
TEST_F(commit_chain_test, full_transactions_are_sent_without_delay)
{
    constexpr int backlog = 900;
    for (int number = 0; number < backlog; ++number)
        this->put("k" + std::to_string(number), "1");
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->writes_done, backlog);
}

// A write whose lease ended while its transaction could not reach the store was sent again for
// good, and no later write was ever committed.
TEST_F(commit_chain_test, a_write_under_an_ended_lease_holds_up_no_other_write)
{
    this->store.down = true;
    bool leased_done = false;
    this->chain->put(
        "leader", [] { return "me"; }, true, [&leased_done] { leased_done = true; },
        this->grant_lease());
    this->put("a", "1");
    this->run_for(milliseconds(100));
    this->store.expire(this->store.last_lease);
    this->store.down = false;
    this->put("b", "2");
    this->run_for(milliseconds(600));
    EXPECT_EQ(this->writes_done, 2);
    EXPECT_FALSE(leased_done);
    EXPECT_FALSE(this->store.items.contains("leader"));
    EXPECT_FALSE(this->has_lost_fence);
}

// The same when the store had executed the transaction before the lease ended.
TEST_F(commit_chain_test, a_lost_answer_to_a_write_under_an_ended_lease_is_no_lost_fence)
{
    this->store.responses_to_lose = 1;
    this->store.lease_check_first = true;
    this->chain->put(
        "leader", [] { return "me"; }, true, {}, this->grant_lease());
    this->put("a", "1");
    this->run_for(milliseconds(22)); // sent, and its answer is lost
    ASSERT_EQ(this->store.commit_count, 1);
    this->store.expire(this->store.last_lease);
    this->put("b", "2");
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->writes_done, 2);
    EXPECT_EQ(this->store.commit_count, 2);
    EXPECT_FALSE(this->has_lost_fence);
}

TEST_F(commit_chain_test, nothing_is_written_after_another_process_took_the_fence)
{
    this->store.items["fence"] = {"fence", "other", 7, false};
    this->put("a", "1");
    this->run_for(milliseconds(100));
    EXPECT_TRUE(this->has_lost_fence);
    EXPECT_EQ(this->writes_done, 0);
    EXPECT_FALSE(this->store.items.contains("a"));
}

TEST_F(commit_chain_test, an_unsent_write_can_be_withdrawn_and_a_sent_one_cannot)
{
    this->store.down = true;
    this->put("sent", "1");
    this->run_for(milliseconds(50));
    this->put("unsent", "1");
    EXPECT_FALSE(this->chain->withdraw("sent"));
    EXPECT_TRUE(this->chain->withdraw("unsent"));
    this->store.down = false;
    this->run_for(milliseconds(600));
    EXPECT_TRUE(this->store.items.contains("sent"));
    EXPECT_FALSE(this->store.items.contains("unsent"));
}

// The store answers small calls while a large transaction is still being sent over a narrow link.
// Each of those answers used to make the chain send it again, so that it was never finished.
TEST_F(commit_chain_test, a_transaction_is_not_resent_before_the_link_can_have_carried_it)
{
    constexpr double link_mbps = 10;
    commit_chain narrow(
        this->loop, this->store, this->log, "fence", "me", 1, [] {}, link_mbps);
    this->store.commit_delay = milliseconds(900);
    narrow.put(
        "a", [] { return std::string(std::size_t{1} << 20, 'a'); }, true,
        [this] { ++this->writes_done; });
    timer answers(this->loop, [&narrow] { narrow.resend_if_stalled(boot_time()); });
    answers.start_repeating(milliseconds(300));
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->writes_done, 1);
    EXPECT_FALSE(narrow.busy());
}

} // namespace
} // namespace verbenalever
