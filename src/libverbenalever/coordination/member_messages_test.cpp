#include "coordination/member_messages.h"

#include "membership/message_codec.h"

#include <gtest/gtest.h>

#include <tuple>

namespace verbenalever {
namespace {

// Entry daemons of the build before and of this one run side by side during an upgrade.
TEST(member_messages, replies_of_an_earlier_build_have_no_retry_time)
{
    const std::tuple<bool, int, int, std::int64_t> earlier{true, 1, 0, 7};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, earlier);
    const auto reply = unpack_message<member_reply>({buffer.data(), buffer.size()});
    ASSERT_TRUE(reply.ok());
    EXPECT_EQ(reply->count, 7);
    EXPECT_EQ(reply->retry_after_s, 0);
}

struct earlier_member_reply {
    bool coordinating = false;
    int outcome = 0;
    int state = 0;
    std::int64_t count = 0;

    MSGPACK_DEFINE(coordinating, outcome, state, count)
};

TEST(member_messages, an_earlier_build_reads_replies_with_a_retry_time)
{
    const auto packed = pack_message(
        member_reply{.coordinating = true, .outcome = 1, .count = 7, .retry_after_s = 3});
    const auto reply = unpack_message<earlier_member_reply>(packed);
    ASSERT_TRUE(reply.ok());
    EXPECT_EQ(reply->count, 7);
    EXPECT_EQ(unpack_message<member_reply>(packed)->retry_after_s, 3);
}

} // namespace
} // namespace verbenalever
