#include "coordination/peer_channel.h"

#include "membership/message_codec.h"
#include "testing/loop_fixture.h"
#include "wire/frame_connection.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

namespace verbenalever {
namespace {

class peer_channel_test : public loop_fixture {
protected:
    peer_channel_test()
    {
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, this->ends.data()), 0);
        this->channel = std::make_unique<peer_channel>(
            this->loop, std::make_unique<frame_connection>(this->loop, this->ends[0]),
            [this](peer_topic, std::string_view, peer_channel::replier) {
                ++this->messages_received;
                this->messages_after_close += this->close_count;
            },
            [this] { ++this->close_count; });
    }

    void TearDown() override
    {
        ::close(this->ends[1]);
    }

    /// Send a notification from the other end.
    void send_notification()
    {
        const auto frame = pack_message(
            peer_message{static_cast<int>(peer_message::form::notification), 0, 0, "news"});
        const std::uint32_t length = htonl(static_cast<std::uint32_t>(frame.size()));
        ASSERT_EQ(::write(this->ends[1], &length, sizeof length), sizeof length);
        ASSERT_EQ(::write(this->ends[1], frame.data(), frame.size()),
                  static_cast<ssize_t>(frame.size()));
    }

    std::array<int, 2> ends{};
    std::unique_ptr<peer_channel> channel;
    int messages_received = 0;
    int close_count = 0;
    int messages_after_close = 0;
};

TEST_F(peer_channel_test, a_silent_connection_is_closed_and_its_calls_fail)
{
    absl::Status outcome;
    this->channel->call(peer_topic::status, "x", milliseconds(5000),
                        [&outcome](const auto& reply) { outcome = reply.status(); });
    this->run_for(peer_channel::silence_limit + peer_channel::heartbeat_interval * 2);
    EXPECT_EQ(this->close_count, 1);
    EXPECT_TRUE(absl::IsUnavailable(outcome));
}

// After a stall the process sees both the peer's silence and the frames that it sent meanwhile. It
// used to close the channel and then handle a frame from it.
TEST_F(peer_channel_test, a_stall_of_this_process_does_not_count_as_silence_of_the_peer)
{
    this->run_for(milliseconds(900));
    this->send_notification();
    std::this_thread::sleep_for(milliseconds(600));
    this->run_for(milliseconds(50));
    EXPECT_EQ(this->close_count, 0);
    EXPECT_EQ(this->messages_received, 1);
    EXPECT_EQ(this->messages_after_close, 0);
}

TEST_F(peer_channel_test, a_call_without_a_reply_fails_at_its_deadline)
{
    absl::Status outcome;
    this->channel->call(peer_topic::status, "x", milliseconds(150),
                        [&outcome](const auto& reply) { outcome = reply.status(); });
    this->run_for(milliseconds(400));
    EXPECT_TRUE(absl::IsDeadlineExceeded(outcome));
    EXPECT_EQ(this->close_count, 0);
}

} // namespace
} // namespace verbenalever
