#include "coordination/member_hub.h"

#include "coordination/member_messages.h"
#include "coordination/peer_message.h"
#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "membership/message_codec.h"
#include "wire/frame_connection.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>
#include <tuple>

namespace verbenalever {
namespace {

/// Answers of members count for this long.
constexpr milliseconds answer_span{1500};

class member_hub_test : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(this->hub.listen(endpoint{.address = "127.0.0.1", .port = 0}).ok());
        auto connection = frame_connection::connect(
            this->member_loop, endpoint{.address = "127.0.0.1", .port = this->hub.port()});
        ASSERT_TRUE(connection.ok()) << connection.status();
        this->member = std::make_unique<peer_channel>(
            this->member_loop, *std::move(connection), [](peer_topic, auto, auto) {}, [] {});
        this->member->set_heartbeat([] { return pack_message(member_greeting{.vm = "vm-2"}); });
        this->member->send_notification(peer_topic::hello,
                                        pack_message(member_greeting{.vm = "vm-2"}));
        this->run_for(milliseconds(800));
    }

    /// Run the loop of one of the two processes while the other one is paused.
    static void run_alone(event_loop& process, milliseconds span)
    {
        timer end(process, [&process] { process.stop(); });
        end.start_once(span);
        process.run();
    }

    /// Run both processes.
    void run_for(milliseconds span)
    {
        const auto end = boot_time() + span;
        while (boot_time() < end) {
            run_alone(this->loop, milliseconds(5));
            run_alone(this->member_loop, milliseconds(5));
        }
    }

    event_loop loop;        ///< of the process with the hub
    event_loop member_loop; ///< of the member
    member_hub hub{this->loop,
                   {.joined = [](const member_greeting&) {},
                    .left = [this](const std::string&) { ++this->departures; },
                    .heartbeat = [](const member_greeting&) {},
                    .on_message = [](peer_topic, auto, auto) {},
                    .greeting = [] { return std::string(); }}};
    std::unique_ptr<peer_channel> member;
    int departures = 0;
};

TEST_F(member_hub_test, a_member_that_answers_heartbeats_counts_as_connected)
{
    for (int round = 0; round < 20; ++round) {
        EXPECT_TRUE(this->hub.all_members_answered_within(answer_span));
        this->run_for(milliseconds(150));
    }
}

// A coordinator that was paused renewed the leases of tasks that its successor had given up: until
// it has read its connections, it took members for connected that had replaced it meanwhile.
TEST_F(member_hub_test, no_member_counts_as_connected_after_a_pause)
{
    ASSERT_TRUE(this->hub.all_members_answered_within(answer_span));
    std::this_thread::sleep_for(answer_span + milliseconds(100));
    EXPECT_FALSE(this->hub.all_members_answered_within(answer_span));
    this->run_for(milliseconds(800));
    EXPECT_TRUE(this->hub.all_members_answered_within(answer_span));
}

// A task ran twice: a coordinator that was paused and replaced took heartbeats that had waited in
// its sockets for recent ones, and renewed leases that its successor no longer waited for.
TEST_F(member_hub_test, heartbeats_that_were_sent_during_a_pause_do_not_count_as_recent)
{
    ASSERT_TRUE(this->hub.all_members_answered_within(answer_span));
    run_alone(this->member_loop, milliseconds(1000));
    std::this_thread::sleep_for(milliseconds(1000));
    run_alone(this->loop, milliseconds(300)); // the member is cut off: its connection stays open
    ASSERT_EQ(this->hub.size(), 1);
    EXPECT_FALSE(this->hub.all_members_answered_within(answer_span));
}

// A member of an earlier build does not answer heartbeats: it is connected, but proves nothing.
TEST_F(member_hub_test, a_member_that_answers_no_heartbeats_does_not_count)
{
    auto connection = frame_connection::connect(
        this->loop, endpoint{.address = "127.0.0.1", .port = this->hub.port()});
    ASSERT_TRUE(connection.ok()) << connection.status();
    const auto frame = pack_message(std::tuple(static_cast<int>(peer_message::form::notification),
                                               0, static_cast<int>(peer_topic::heartbeat),
                                               pack_message(member_greeting{.vm = "vm-3"})));
    for (int round = 0; round < 5; ++round) {
        (*connection)->send(frame);
        this->run_for(milliseconds(200));
    }
    EXPECT_EQ(this->hub.size(), 2);
    EXPECT_FALSE(this->hub.all_members_answered_within(answer_span));
}

// The advisor was asked through one VM only, for as long as a coordinator lived: after a pause it
// read the last heartbeats of connections that its members had replaced, and took the end of these
// for theirs.
TEST_F(member_hub_test, a_heartbeat_left_in_a_replaced_connection_does_not_make_it_current)
{
    const auto frame = pack_message(std::tuple(static_cast<int>(peer_message::form::notification),
                                               0, static_cast<int>(peer_topic::heartbeat),
                                               pack_message(member_greeting{.vm = "vm-3"})));
    const auto connect = [&] {
        auto connection = frame_connection::connect(
            this->member_loop, endpoint{.address = "127.0.0.1", .port = this->hub.port()});
        EXPECT_TRUE(connection.ok()) << connection.status();
        return *std::move(connection);
    };
    auto replaced = connect();
    replaced->send(frame);
    this->run_for(milliseconds(100));
    auto current = connect();
    current->send(frame);
    this->run_for(milliseconds(100));
    const auto* channel = this->hub.find("vm-3");
    ASSERT_NE(channel, nullptr);
    replaced->send(frame);
    this->run_for(milliseconds(100));
    EXPECT_EQ(this->hub.find("vm-3"), channel);
    replaced.reset();
    this->run_for(milliseconds(100));
    EXPECT_EQ(this->hub.find("vm-3"), channel);
    EXPECT_EQ(this->departures, 0);
}

} // namespace
} // namespace verbenalever
