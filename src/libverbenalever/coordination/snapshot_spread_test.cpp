#include "coordination/snapshot_spread.h"

#include <gtest/gtest.h>

#include <string>

namespace verbenalever {
namespace {

constexpr milliseconds heartbeat{350};
constexpr snapshot_state ours{.revision = 100, .digest = 1};

/// @return copies sent to a process that says the same for @p beats heartbeats
int copies(snapshot_spread& spread, const snapshot_state& theirs, int beats, std::size_t unsent = 0)
{
    int sent = 0;
    for (int beat = 0; beat < beats; ++beat)
        sent += spread.heard("vm", theirs, ours, unsent, heartbeat * (beat + 1)) ? 1 : 0;
    return sent;
}

// Load pattern: all processes start again and read the store at slightly different revisions. Each
// used to be sent the whole configuration with each heartbeat until it said a newer revision.
TEST(snapshot_spread, equal_content_at_another_revision_is_never_sent)
{
    snapshot_spread spread;
    EXPECT_EQ(copies(spread, {.revision = 90, .digest = 1}, 20), 0);
}

// Load pattern: a configuration of thousands of queues on a link of 10 Mbit/s.
TEST(snapshot_spread, one_copy_is_under_way_at_a_time)
{
    snapshot_spread spread;
    EXPECT_EQ(copies(spread, {.revision = 90, .digest = 2}, 10), 1);
    snapshot_spread busy;
    EXPECT_EQ(copies(busy, {.revision = 90, .digest = 2}, 10, snapshot_spread::busy_bytes + 1), 0);
}

TEST(snapshot_spread, a_process_that_reads_the_change_by_itself_is_sent_nothing)
{
    snapshot_spread spread;
    EXPECT_EQ(copies(spread, {.revision = 90, .digest = 2}, 2), 0);
    EXPECT_FALSE(spread.heard("vm", ours, ours, 0, heartbeat * 3));
    EXPECT_FALSE(spread.heard("vm", {.revision = 90, .digest = 2}, ours, 0, heartbeat * 4))
        << "the time begins anew";
}

TEST(snapshot_spread, a_process_that_stays_behind_has_it_within_a_second)
{
    snapshot_spread spread;
    EXPECT_EQ(copies(spread, {.revision = 90, .digest = 2}, 3), 1);
}

TEST(snapshot_spread, a_lost_copy_is_sent_again)
{
    snapshot_spread spread;
    EXPECT_EQ(copies(spread, {.revision = 90, .digest = 2}, 16), 2);
}

TEST(snapshot_spread, a_newer_content_does_not_wait_for_an_older_copy)
{
    snapshot_spread spread;
    EXPECT_EQ(copies(spread, {.revision = 90, .digest = 2}, 3), 1);
    EXPECT_TRUE(spread.heard("vm", {.revision = 90, .digest = 2}, {.revision = 101, .digest = 3}, 0,
                             heartbeat * 4));
}

} // namespace
} // namespace verbenalever
