#include "coordination/member_hub.h"

#include "coordination/member_messages.h"
#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "membership/message_codec.h"
#include "wire/frame_connection.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>

namespace verbenalever {
namespace {

class member_hub_test : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(this->hub.listen(endpoint{.address = "127.0.0.1", .port = 0}).ok());
        auto connection = frame_connection::connect(
            this->loop, endpoint{.address = "127.0.0.1", .port = this->hub.port()});
        ASSERT_TRUE(connection.ok()) << connection.status();
        this->member = std::make_unique<peer_channel>(
            this->loop, *std::move(connection), [](peer_topic, auto, auto) {}, [] {});
        this->member->set_heartbeat([] { return pack_message(member_greeting{.vm = "vm-2"}); });
        this->member->send_notification(peer_topic::hello,
                                        pack_message(member_greeting{.vm = "vm-2"}));
        this->run_for(milliseconds(100));
    }

    void run_for(milliseconds span)
    {
        timer end(this->loop, [this] { this->loop.stop(); });
        end.start_once(span);
        this->loop.run();
    }

    event_loop loop;
    member_hub hub{this->loop,
                   {.joined = [](const member_greeting&) {},
                    .left = [](const std::string&) {},
                    .heartbeat = [](const member_greeting&) {},
                    .on_message = [](peer_topic, auto, auto) {},
                    .greeting = [] { return std::string(); }}};
    std::unique_ptr<peer_channel> member;
};

TEST_F(member_hub_test, a_member_that_sends_heartbeats_counts_as_connected)
{
    EXPECT_TRUE(this->hub.all_members_connected());
    this->run_for(milliseconds(1500));
    EXPECT_TRUE(this->hub.all_members_connected());
}

// A coordinator that was paused renewed the leases of tasks that its successor had given up: until
// it has read its connections, it took members for connected that had replaced it meanwhile.
TEST_F(member_hub_test, no_member_counts_as_connected_after_a_pause)
{
    ASSERT_TRUE(this->hub.all_members_connected());
    std::this_thread::sleep_for(peer_channel::silence_limit + milliseconds(100));
    EXPECT_FALSE(this->hub.all_members_connected());
    this->run_for(milliseconds(800));
    EXPECT_TRUE(this->hub.all_members_connected());
}

} // namespace
} // namespace verbenalever
