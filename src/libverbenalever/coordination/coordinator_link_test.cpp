#include "coordination/coordinator_link.h"

#include "loop/endpoint.h"
#include "testing/loop_fixture.h"
#include "wire/frame_connection.h"
#include "wire/frame_listener.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace verbenalever {
namespace {

class coordinator_link_test : public loop_fixture {
protected:
    coordinator_link_test()
    {
        auto made = frame_listener::listen(
            this->loop, endpoint{.address = "127.0.0.1", .port = 0},
            [this](std::unique_ptr<frame_connection> connection) {
                this->accepted.push_back(std::make_unique<peer_channel>(
                    this->loop, std::move(connection), [](peer_topic, auto, auto) {}, [] {}));
            });
        EXPECT_TRUE(made.ok()) << made.status();
        this->listener = *std::move(made);
        this->link.set_coordinator(coordinator_record{
            "vm-1", "127.0.0.1:" + std::to_string(this->listener->port()), "tenure"});
    }

    std::unique_ptr<frame_listener> listener;
    std::vector<std::unique_ptr<peer_channel>> accepted;
    int refusals = 0;
    std::vector<bool> changes;
    coordinator_link link{this->loop,
                          "127.0.0.1",
                          {.greeting = [] { return std::string(); },
                           .on_message = [](peer_topic, auto, auto) {},
                           .connection_changed = [this](bool up) { this->changes.push_back(up); },
                           .coordinator_gone = [this] { ++this->refusals; }}};
};

TEST_F(coordinator_link_test, a_reset_connection_is_opened_again)
{
    this->run_for(milliseconds(100));
    ASSERT_TRUE(this->link.up());
    this->accepted.clear();
    this->run_for(milliseconds(100));
    EXPECT_TRUE(this->link.up());
    EXPECT_EQ(this->changes, (std::vector<bool>{true, false, true}));
    EXPECT_EQ(this->refusals, 0);
}

// A killed coordinator used to be detected only when its lease had expired at the store.
TEST_F(coordinator_link_test, a_terminated_coordinator_is_detected_at_once)
{
    this->run_for(milliseconds(100));
    ASSERT_TRUE(this->link.up());
    this->listener.reset();
    this->accepted.clear();
    this->run_for(milliseconds(100));
    EXPECT_FALSE(this->link.up());
    EXPECT_GE(this->refusals, 1);
}

// Otherwise processes in zones that are partitioned from each other would replace each other's
// coordinator for as long as the partition lasts.
TEST_F(coordinator_link_test, a_coordinator_never_heard_is_not_reported_gone)
{
    const auto port = this->listener->port();
    this->listener.reset();
    this->link.set_coordinator(
        coordinator_record{"vm-2", "127.0.0.1:" + std::to_string(port), "another tenure"});
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->refusals, 0);
}

} // namespace
} // namespace verbenalever
