#include "scheduling/usage_reporter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using verbenalever::apply_usage;
using verbenalever::monotonic_time;
using verbenalever::share_ledger;
using verbenalever::usage_reporter;

constexpr monotonic_time start_time{std::chrono::hours(1)};

RC_GTEST_PROP(usage_reporter, peers_converge_although_messages_are_lost, ())
{
    share_ledger own;
    share_ledger peer;
    usage_reporter reporter(own);
    const auto steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
        const auto team = "team-" + std::to_string(*rc::gen::inRange(0, 12));
        const auto previous_slots = own.local_usage(team).slots;
        own.add_local_usage(team, {.slots = *rc::gen::inRange<std::int64_t>(-previous_slots, 3)},
                            start_time);
        const auto message = reporter.next_message();
        if (*rc::gen::inRange(0, 3) != 0)
            apply_usage(peer, "entry", message, start_time);
    }
    // Twelve teams need three ranges; a fourth message, since the round may have been in progress.
    for (int round = 0; round < 4; ++round)
        apply_usage(peer, "entry", reporter.next_message(), start_time);
    std::size_t own_teams = 0;
    for (const auto& [team, account] : own.teams())
        own_teams += account.local.slots > 0 ? 1 : 0;
    for (const auto& [team, account] : own.teams())
        RC_ASSERT(peer.total_usage(team).slots == account.local.slots);
    RC_ASSERT(peer.teams_reported_by("entry", "").size() == own_teams);
}

TEST(usage_reporter, does_not_report_changes_of_a_peers_usage)
{
    share_ledger ledger;
    usage_reporter reporter(ledger);
    for (int team = 0; team < 100; ++team)
        ledger.add_local_usage("team-" + std::to_string(team), {.slots = 1}, start_time);
    EXPECT_EQ(reporter.next_message().teams.size(), 100U);
    for (int team = 0; team < 100; ++team)
        ledger.set_peer_usage("peer", "team-" + std::to_string(team), {.slots = 5}, start_time);
    EXPECT_LE(reporter.next_message().teams.size(), 4U);
}

TEST(usage_reporter, full_message_replaces_what_a_peer_had_recorded)
{
    share_ledger own;
    share_ledger peer;
    usage_reporter reporter(own);
    apply_usage(peer, "entry", {.teams = {{.team = "old", .slots = 3}}}, start_time);
    own.add_local_usage("red", {.slots = 2, .memory_mb = 10}, start_time);
    apply_usage(peer, "entry", reporter.full_message(), start_time);
    EXPECT_EQ(peer.total_usage("old").slots, 0);
    EXPECT_EQ(peer.total_usage("red"), own.local_usage("red"));
}

} // namespace
