#include "coordinator/target_session.h"

#include "testing/fake_targets.h"
#include "testing/loop_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace verbenalever {
namespace {

class target_session_test : public loop_fixture {
protected:
    target_session_test()
    {
        this->targets.add("t1", 4000);
        this->session = std::make_unique<target_session>(
            this->loop, this->targets, target_life{.name = "t1", .born_ms = 1},
            order_authority{.fencing_token = 1, .term = 1}, milliseconds(5000), milliseconds(6000),
            target_session::callbacks{.may_renew_leases = [] { return true; },
                                      .poll_answered = [](const target_view&, milliseconds) {},
                                      .fenced = [] {},
                                      .restarted = [] {},
                                      .reachability_changed = [](bool) {}});
    }

    fake_targets targets{this->loop};
    std::unique_ptr<target_session> session;
};

// The answer to an order is lost; until that is noticed, polls are answered and then not needed any
// more. Without another poll the target would count as silent for good.
TEST_F(target_session_test, a_target_that_missed_an_answer_is_polled_until_it_answers)
{
    this->session->start_polling();
    this->run_for(milliseconds(100));
    auto& target = *this->targets.targets["t1"];
    target.loses_response = [](const start_order&) { return true; };
    bool answered = false;
    this->session->start({.task = {"w", 0, 0, 0}, .run = 1, .payload = "p"},
                         [&answered](const order_result&) { answered = true; });
    this->run_for(milliseconds(200));
    ASSERT_FALSE(answered);
    ASSERT_TRUE(this->session->reachable());
    this->run_for(milliseconds(1300));
    EXPECT_TRUE(answered);
    EXPECT_TRUE(this->session->reachable());
}

// A late poll told a target that had restarted under its name to forget ends of its new life: these
// tasks ran twice. Until a target answers it may have restarted, so nothing is acknowledged there.
TEST_F(target_session_test, a_target_that_missed_an_answer_gets_no_acknowledgement_until_it_answers)
{
    std::vector<std::int64_t> acknowledged;
    this->targets.on_poll = [&acknowledged](std::int64_t number) {
        acknowledged.push_back(number);
    };
    this->session->start_polling();
    this->run_for(milliseconds(100));
    this->session->acknowledge_ends(7, true);
    this->run_for(milliseconds(100));
    ASSERT_EQ(acknowledged.back(), 7);
    auto& target = *this->targets.targets["t1"];
    target.unresponsive = true;
    acknowledged.clear();
    this->session->acknowledge_ends(8, true);
    this->run_for(milliseconds(3000));
    ASSERT_FALSE(this->session->reachable());
    ASSERT_GT(acknowledged.size(), 1);
    EXPECT_LE(std::ranges::count_if(acknowledged, [](auto number) { return number > 0; }), 1);
    target.unresponsive = false;
    acknowledged.clear();
    this->run_for(milliseconds(2500));
    EXPECT_EQ(std::ranges::count(acknowledged, 8), 1);
}

// A target that was idle for long may have a slow clock: its next lease ends later than its length
// suggests, and tasks started elsewhere before that would run twice.
TEST_F(target_session_test, a_lease_ends_later_when_the_targets_clock_was_read_long_ago)
{
    this->session->start_polling();
    this->run_for(milliseconds(50));
    const auto clock_read_at = boot_time();
    this->run_for(milliseconds(7000));
    order_authority authority;
    this->targets.on_start_authority = [&authority](const order_authority& sent) {
        authority = sent;
    };
    this->session->start({.task = {"w", 0, 0, 0}, .run = 1, .payload = "p"},
                         [](const order_result&) {});
    // A clock that is 2 percent slow since it was read shows at most this much less.
    const auto drift = (boot_time() - clock_read_at) * 2 / 100;
    const auto lease_end = milliseconds(authority.lease_until_ms) + drift;
    EXPECT_GE(this->session->lease_expiry(), boot_time() + (lease_end - boot_time()) * 100 / 98);
}

} // namespace
} // namespace verbenalever
