#include "order_relay/order_relay.h"

#include "order_relay/relayed_orders.h"
#include "testing/fake_targets.h"
#include "testing/loop_fixture.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace verbenalever {
namespace {

/// A coordinator's relayed_orders with two relays in one zone, connected by direct calls.
class order_relay_test : public loop_fixture {
protected:
    order_relay_test()
    {
        this->targets.add("t1", 4000);
        this->targets.need_by_workflow["w"] = {.processors_milli = 1000};
        this->orders.set_fleet_size(relayed_orders::max_direct_targets + 1);
        this->orders.update_relay("vm-1", "z1", 0.5);
        this->orders.update_relay("vm-2", "z1", 0.5);
    }

    bool call(const std::string& vm, peer_topic topic, const std::string& payload,
              relayed_orders::reply_callback done)
    {
        this->called_relays.push_back(vm);
        if (const auto found = this->relay_errors.find(vm); found != this->relay_errors.end())
            done(found->second);
        else {
            std::this_thread::sleep_for(this->network_delay);
            this->relay.handle(topic, payload,
                               [done](std::string reply) { done(std::move(reply)); });
        }
        return true;
    }

    std::optional<order_result> start()
    {
        const auto result = std::make_shared<std::optional<order_result>>();
        this->orders.start(this->life, {.fencing_token = 7, .lease_until_ms = this->lease_end()},
                           {.task = {"w", 0, 0, 0}, .run = ++this->last_run, .payload = "p"},
                           milliseconds(500),
                           [result](order_result response) { *result = response; });
        this->run_for(milliseconds(50));
        return *result;
    }

    static std::int64_t lease_end()
    {
        return (boot_time() + milliseconds(5000)).count();
    }

    event_log log{"test"};
    counters count;
    fake_targets targets{this->loop};
    order_relay relay{this->targets, this->count};
    std::int64_t last_run = 0;     ///< a run that has ended cannot start again
    milliseconds network_delay{0}; ///< of each message to a relay
    std::vector<std::string> called_relays;
    std::map<std::string, absl::Status> relay_errors;
    relayed_orders orders{
        {.loop = this->loop,
         .direct = this->targets,
         .count = this->count,
         .log = this->log,
         .call = [this](const std::string& vm, peer_topic topic, std::string payload, milliseconds,
                        relayed_orders::reply_callback done) {
             return this->call(vm, topic, payload, std::move(done));
         }}};
    target_life life{"t1", 1, {"127.0.0.1", 1}, "z1"};
};

TEST_F(order_relay_test, results_and_views_pass_through_a_relay_unchanged)
{
    const auto started = this->start();
    ASSERT_TRUE(started);
    EXPECT_EQ(started->how, order_result::outcome::done);
    EXPECT_NE(started->clock_ms, 0);
    std::optional<target_view> view;
    this->orders.poll(this->life, {.fencing_token = 7, .lease_until_ms = this->lease_end()}, 0,
                      milliseconds(0), milliseconds(500),
                      [&view](target_view received) { view = std::move(received); });
    this->run_for(milliseconds(20));
    ASSERT_TRUE(view);
    ASSERT_EQ(view->running.size() + view->ended.size(), 1);
    std::optional<order_result> stopped;
    this->orders.stop(this->life, {.fencing_token = 7}, {"w", 0, 0, 0}, 1, milliseconds(500),
                      [&stopped](order_result response) { stopped = response; });
    this->run_for(milliseconds(20));
    ASSERT_TRUE(stopped);
    EXPECT_EQ(stopped->how, order_result::outcome::done);
    EXPECT_EQ(this->called_relays.size(), 3);
}

TEST_F(order_relay_test, small_fleet_bypasses_relays)
{
    this->orders.set_fleet_size(relayed_orders::max_direct_targets);
    EXPECT_TRUE(this->start());
    EXPECT_TRUE(this->called_relays.empty());
}

// Fault: a relay is killed while it handles an order.
TEST_F(order_relay_test, order_is_resent_through_another_relay_when_a_relay_is_lost)
{
    this->start();
    const auto first = this->called_relays.front();
    this->called_relays.clear();
    this->relay_errors[first] = absl::UnavailableError("gone");
    const auto started = this->start();
    ASSERT_TRUE(started);
    EXPECT_EQ(started->how, order_result::outcome::done);
    ASSERT_EQ(this->called_relays.size(), 2);
    EXPECT_NE(this->called_relays[1], first);
    this->called_relays.clear();
    this->start();
    EXPECT_EQ(this->called_relays, std::vector<std::string>({this->called_relays.front()}))
        << "a failed relay is not used again";
    EXPECT_NE(this->called_relays.front(), first);
}

// Fault: a relay is frozen. Its missing replies must not count as missing responses of its targets.
TEST_F(order_relay_test, relay_without_replies_is_suspected_for_a_while)
{
    this->start();
    const auto first = this->called_relays.front();
    this->relay_errors[first] = absl::DeadlineExceededError("silent");
    EXPECT_EQ(this->start()->how, order_result::outcome::done);
    this->relay_errors.clear();
    this->called_relays.clear();
    this->start();
    EXPECT_NE(this->called_relays.front(), first);
    this->run_for(relayed_orders::suspicion_time + milliseconds(600));
    this->called_relays.clear();
    this->start();
    EXPECT_EQ(this->called_relays.front(), first);
}

TEST_F(order_relay_test, outcome_is_unknown_when_no_relay_replies)
{
    this->relay_errors["vm-1"] = absl::DeadlineExceededError("silent");
    this->relay_errors["vm-2"] = absl::DeadlineExceededError("silent");
    EXPECT_EQ(this->start()->how, order_result::outcome::unknown);
}

// Fault: a frozen relay resumes with delayed orders. Their targets may have restarted meanwhile,
// and the restarted target would execute them.
TEST_F(order_relay_test, relay_drops_orders_that_were_delayed_too_long)
{
    EXPECT_TRUE(this->start());
    this->network_delay = milliseconds(600); // longer than the order's timeout of 500 ms
    EXPECT_FALSE(this->start()) << "no reply is sent either";
    EXPECT_EQ(this->targets.start_count, 1);
    this->network_delay = milliseconds(100);
    EXPECT_TRUE(this->start());
    EXPECT_EQ(this->targets.start_count, 2);
}

TEST(order_delay_estimator, needs_no_common_clock_and_resets_for_each_coordinator)
{
    order_delay_estimator delay_estimator;
    const milliseconds ahead(1'000'000);
    EXPECT_EQ(delay_estimator.delay_of(1, milliseconds(100), ahead + milliseconds(103)).count(), 0);
    EXPECT_EQ(delay_estimator.delay_of(1, milliseconds(200), ahead + milliseconds(201)).count(), 0);
    EXPECT_EQ(delay_estimator.delay_of(1, milliseconds(300), ahead + milliseconds(1001)).count(),
              700);
    EXPECT_EQ(
        delay_estimator.delay_of(2, milliseconds(900'000), ahead + milliseconds(1002)).count(), 0);
}

TEST_F(order_relay_test, malformed_order_is_refused_without_side_effects)
{
    for (const auto topic :
         {peer_topic::start_run, peer_topic::stop_run, peer_topic::poll_target}) {
        int replies = 0;
        EXPECT_TRUE(this->relay.handle(topic, "\xc1 nonsense",
                                       [&replies](const std::string&) { ++replies; }));
        EXPECT_EQ(replies, 1);
    }
    EXPECT_EQ(this->targets.start_count, 0);
    EXPECT_FALSE(this->relay.handle(peer_topic::advise, {}, {}));
}

} // namespace
} // namespace verbenalever
