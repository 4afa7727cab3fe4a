#include "coordination/snapshot_send_policy.h"

#include <gtest/gtest.h>

#include <string>

namespace verbenalever {
namespace {

constexpr milliseconds heartbeat{350};
constexpr snapshot_state ours{.revision = 100, .digest = 1};

/// @return copies sent to a process that reports @p theirs in @p beats heartbeats
int copies(snapshot_send_policy& policy, const snapshot_state& theirs, int beats,
           std::size_t unsent = 0)
{
    int sent = 0;
    for (int beat = 0; beat < beats; ++beat)
        sent += policy.should_send("vm", theirs, ours, unsent, heartbeat * (beat + 1)) ? 1 : 0;
    return sent;
}

// All processes restart and read the store at slightly different revisions. Each used to be sent
// the whole configuration at each heartbeat until it reported a newer revision.
TEST(snapshot_send_policy, equal_content_at_another_revision_is_never_sent)
{
    snapshot_send_policy policy;
    EXPECT_EQ(copies(policy, {.revision = 90, .digest = 1}, 20), 0);
}

// A configuration of thousands of queues on a link of 10 Mbit/s would otherwise be queued again at
// each heartbeat.
TEST(snapshot_send_policy, one_copy_is_in_transit_at_a_time)
{
    snapshot_send_policy policy;
    EXPECT_EQ(copies(policy, {.revision = 90, .digest = 2}, 10), 1);
    snapshot_send_policy busy;
    EXPECT_EQ(copies(busy, {.revision = 90, .digest = 2}, 10, snapshot_send_policy::busy_bytes + 1),
              0);
}

TEST(snapshot_send_policy, a_process_that_reads_the_change_by_itself_is_sent_nothing)
{
    snapshot_send_policy policy;
    EXPECT_EQ(copies(policy, {.revision = 90, .digest = 2}, 2), 0);
    EXPECT_FALSE(policy.should_send("vm", ours, ours, 0, heartbeat * 3));
    EXPECT_FALSE(policy.should_send("vm", {.revision = 90, .digest = 2}, ours, 0, heartbeat * 4))
        << "the catch-up time starts again";
}

TEST(snapshot_send_policy, a_lagging_process_is_sent_a_copy_within_a_second)
{
    snapshot_send_policy policy;
    EXPECT_EQ(copies(policy, {.revision = 90, .digest = 2}, 3), 1);
}

TEST(snapshot_send_policy, a_lost_copy_is_sent_again)
{
    snapshot_send_policy policy;
    EXPECT_EQ(copies(policy, {.revision = 90, .digest = 2}, 16), 2);
}

TEST(snapshot_send_policy, newer_content_is_sent_without_waiting_for_an_older_copy)
{
    snapshot_send_policy policy;
    EXPECT_EQ(copies(policy, {.revision = 90, .digest = 2}, 3), 1);
    EXPECT_TRUE(policy.should_send("vm", {.revision = 90, .digest = 2},
                                   {.revision = 101, .digest = 3}, 0, heartbeat * 4));
}

} // namespace
} // namespace verbenalever
