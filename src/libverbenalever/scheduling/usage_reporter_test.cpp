#include "scheduling/usage_reporter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using verbenalever::apply_usage;
using verbenalever::monotonic_time;
using verbenalever::share_ledger;
using verbenalever::usage_reporter;

constexpr monotonic_time begin{std::chrono::hours(1)};

RC_GTEST_PROP(usage_reporter, brings_peers_level_although_messages_are_lost, ())
{
    share_ledger own;
    share_ledger peer;
    usage_reporter report(own);
    const auto steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
        const auto team = "team-" + std::to_string(*rc::gen::inRange(0, 12));
        const auto had = own.local_usage(team).slots;
        own.add_local_usage(team, {.slots = *rc::gen::inRange<std::int64_t>(-had, 3)}, begin);
        const auto message = report.changes();
        if (*rc::gen::inRange(0, 3) != 0)
            apply_usage(peer, "entry", message, begin);
    }
    // Twelve teams pass in three ranges; one more, since the last range may have been half way.
    for (int round = 0; round < 4; ++round)
        apply_usage(peer, "entry", report.changes(), begin);
    std::size_t own_teams = 0;
    for (const auto& [team, account] : own.teams())
        own_teams += account.own.slots > 0 ? 1 : 0;
    for (const auto& [team, account] : own.teams())
        RC_ASSERT(peer.total_usage(team).slots == account.own.slots);
    RC_ASSERT(peer.teams_reported_by("entry", "").size() == own_teams);
}

TEST(usage_reporter, does_not_answer_changes_elsewhere_with_messages)
{
    share_ledger ledger;
    usage_reporter report(ledger);
    for (int team = 0; team < 100; ++team)
        ledger.add_local_usage("team-" + std::to_string(team), {.slots = 1}, begin);
    EXPECT_EQ(report.changes().teams.size(), 100U);
    for (int team = 0; team < 100; ++team)
        ledger.set_peer_usage("peer", "team-" + std::to_string(team), {.slots = 5}, begin);
    EXPECT_LE(report.changes().teams.size(), 4U);
}

TEST(usage_reporter, starts_over_with_a_peer_that_has_come_alive)
{
    share_ledger own;
    share_ledger peer;
    usage_reporter report(own);
    apply_usage(peer, "entry", {.teams = {{.team = "old", .slots = 3}}}, begin);
    own.add_local_usage("red", {.slots = 2, .memory_mb = 10}, begin);
    apply_usage(peer, "entry", report.complete(), begin);
    EXPECT_EQ(peer.total_usage("old").slots, 0);
    EXPECT_EQ(peer.total_usage("red"), own.local_usage("red"));
}

} // namespace
