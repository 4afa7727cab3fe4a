#include "order_relay/order_relay.h"

#include "loop/event_loop.h"
#include "order_relay/relayed_orders.h"
#include "testing/fake_targets.h"
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

/// The coordinator's side with two relays in one zone, without a network between them.
class order_relay_test : public testing::Test {
protected:
    order_relay_test()
    {
        this->targets.add("t1", 4000);
        this->targets.need_of["w"] = {.processors_milli = 1000};
        this->orders.set_fleet_size(relayed_orders::direct_limit + 1);
        this->orders.put_relay("vm-1", "z1", 0.5);
        this->orders.put_relay("vm-2", "z1", 0.5);
    }

    bool call(const std::string& vm, peer_topic topic, const std::string& payload,
              relayed_orders::reply_callback done)
    {
        this->asked.push_back(vm);
        if (const auto found = this->failing.find(vm); found != this->failing.end())
            done(found->second);
        else {
            std::this_thread::sleep_for(this->way);
            this->relay.take(topic, payload, [done](std::string reply) { done(std::move(reply)); });
        }
        return true;
    }

    void run_for(milliseconds span)
    {
        timer end(this->loop, [this] { this->loop.stop(); });
        end.start_once(span);
        this->loop.run();
    }

    std::optional<order_result> start()
    {
        const auto result = std::make_shared<std::optional<order_result>>();
        this->orders.start(this->life, {.fencing_token = 7, .lease_until_ms = this->lease_end()},
                           {.task = {"w", 0, 0, 0}, .run = 1, .payload = "p"}, milliseconds(500),
                           [result](order_result told) { *result = told; });
        this->run_for(milliseconds(50));
        return *result;
    }

    static std::int64_t lease_end()
    {
        return (boot_time() + milliseconds(5000)).count();
    }

    event_loop loop;
    event_log log{"test"};
    counters count;
    fake_targets targets{this->loop};
    order_relay relay{this->targets, this->count};
    milliseconds way{0}; ///< that a message takes to the relay
    std::vector<std::string> asked;
    std::map<std::string, absl::Status> failing;
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

TEST_F(order_relay_test, orders_and_views_pass_through_a_relay_unchanged)
{
    const auto started = this->start();
    ASSERT_TRUE(started);
    EXPECT_EQ(started->how, order_result::outcome::done);
    EXPECT_NE(started->clock_ms, 0);
    std::optional<target_view> seen;
    this->orders.poll(this->life, {.fencing_token = 7, .lease_until_ms = this->lease_end()}, 0,
                      milliseconds(0), milliseconds(500),
                      [&seen](target_view view) { seen = std::move(view); });
    this->run_for(milliseconds(20));
    ASSERT_TRUE(seen);
    ASSERT_EQ(seen->running.size() + seen->ended.size(), 1);
    std::optional<order_result> fenced;
    this->orders.stop(this->life, {.fencing_token = 7}, {"w", 0, 0, 0}, 1, milliseconds(500),
                      [&fenced](order_result told) { fenced = told; });
    this->run_for(milliseconds(20));
    ASSERT_TRUE(fenced);
    EXPECT_EQ(fenced->how, order_result::outcome::done);
    EXPECT_EQ(this->asked.size(), 3);
}

TEST_F(order_relay_test, a_small_fleet_is_spoken_to_directly)
{
    this->orders.set_fleet_size(relayed_orders::direct_limit);
    EXPECT_TRUE(this->start());
    EXPECT_TRUE(this->asked.empty());
}

// Fault: a relay is killed while it carries an order.
TEST_F(order_relay_test, an_order_of_a_lost_relay_goes_through_the_next_one)
{
    this->start();
    const auto first = this->asked.front();
    this->asked.clear();
    this->failing[first] = absl::UnavailableError("gone");
    const auto started = this->start();
    ASSERT_TRUE(started);
    EXPECT_EQ(started->how, order_result::outcome::done);
    ASSERT_EQ(this->asked.size(), 2);
    EXPECT_NE(this->asked[1], first);
    this->asked.clear();
    this->start();
    EXPECT_EQ(this->asked, std::vector<std::string>({this->asked.front()})) << "it is used no more";
    EXPECT_NE(this->asked.front(), first);
}

// Fault: a relay is frozen. Its silence must not count as the silence of the targets behind it.
TEST_F(order_relay_test, a_silent_relay_is_passed_over_for_a_while)
{
    this->start();
    const auto first = this->asked.front();
    this->failing[first] = absl::DeadlineExceededError("silent");
    EXPECT_EQ(this->start()->how, order_result::outcome::done);
    this->failing.clear();
    this->asked.clear();
    this->start();
    EXPECT_NE(this->asked.front(), first);
    this->run_for(relayed_orders::suspicion + milliseconds(600));
    this->asked.clear();
    this->start();
    EXPECT_EQ(this->asked.front(), first);
}

TEST_F(order_relay_test, without_any_answer_the_outcome_is_unknown)
{
    this->failing["vm-1"] = absl::DeadlineExceededError("silent");
    this->failing["vm-2"] = absl::DeadlineExceededError("silent");
    EXPECT_EQ(this->start()->how, order_result::outcome::unknown);
}

// Fault: a relay is frozen and wakes with orders that have waited: their targets may have started
// again meanwhile, and a new life of a target would carry them out.
TEST_F(order_relay_test, a_relay_carries_out_nothing_that_has_waited_too_long)
{
    EXPECT_TRUE(this->start());
    this->way = milliseconds(600); // the coordinator has waited 500 for the target
    EXPECT_FALSE(this->start()) << "nothing is said of it either";
    EXPECT_EQ(this->targets.starts, 1);
    this->way = milliseconds(100);
    EXPECT_TRUE(this->start());
    EXPECT_EQ(this->targets.starts, 2);
}

TEST(order_age, is_told_without_a_common_clock_and_begins_anew_with_each_coordinator)
{
    order_age ages;
    const milliseconds ahead(1'000'000);
    EXPECT_EQ(ages.age_of(1, milliseconds(100), ahead + milliseconds(103)).count(), 0);
    EXPECT_EQ(ages.age_of(1, milliseconds(200), ahead + milliseconds(201)).count(), 0);
    EXPECT_EQ(ages.age_of(1, milliseconds(300), ahead + milliseconds(1001)).count(), 700);
    EXPECT_EQ(ages.age_of(2, milliseconds(900'000), ahead + milliseconds(1002)).count(), 0);
}

TEST_F(order_relay_test, a_malformed_order_is_refused_and_harms_nothing)
{
    for (const auto topic :
         {peer_topic::start_run, peer_topic::stop_run, peer_topic::look_at_target}) {
        int replies = 0;
        EXPECT_TRUE(this->relay.take(topic, "\xc1 nonsense",
                                     [&replies](const std::string&) { ++replies; }));
        EXPECT_EQ(replies, 1);
    }
    EXPECT_EQ(this->targets.starts, 0);
    EXPECT_FALSE(this->relay.take(peer_topic::advise, {}, {}));
}

} // namespace
} // namespace verbenalever
