#include "coordination/hand_over_policy.h"

#include <gtest/gtest.h>

#include <vector>

namespace verbenalever {
namespace {

constexpr vm_fitness strong{.processor_share = 0.5, .link_mbps = 200};
constexpr vm_fitness weak{.processor_share = 0.3, .link_mbps = 10};

member_condition member(const vm_fitness& fitness, milliseconds lag = milliseconds(0))
{
    return {.vm = "vm-2", .fitness = fitness, .loop_lag = lag, .can_coordinate = true};
}

std::string_view reason(const coordinator_condition& own,
                        const std::vector<member_condition>& members)
{
    const auto decision = decide_hand_over(own, members);
    return decision ? decision->reason : "";
}

// A weak VM that was elected right after all processes were killed used to coordinate for the rest
// of the day.
TEST(hand_over_policy_test, a_weak_coordinator_hands_over_at_once)
{
    const coordinator_condition own{.fitness = weak, .store_answers = true};
    EXPECT_EQ(reason(own, {member(weak), member(strong)}), "weak");
    EXPECT_EQ(reason(own, {member(weak)}), "");
    EXPECT_EQ(reason({.fitness = strong, .store_answers = true}, {member(weak), member(strong)}),
              "");
}

// At the start of an outage of the store members still report that it answers. A weak coordinator
// that ended its lease then left nobody to coordinate until the store was back.
TEST(hand_over_policy_test, a_weak_coordinator_stays_while_the_store_does_not_answer)
{
    EXPECT_EQ(reason({.fitness = weak, .store_answers = false}, {member(strong)}), "");
    auto checked = member(strong);
    checked.store_checked = true;
    EXPECT_EQ(reason({.fitness = weak, .store_answers = false}, {checked}), "weak");
}

TEST(hand_over_policy_test, a_member_that_cannot_coordinate_or_is_late_takes_nothing)
{
    auto away = member(strong);
    away.can_coordinate = false;
    EXPECT_EQ(
        reason({.fitness = weak, .store_answers = true}, {away, member(strong, milliseconds(400))}),
        "");
}

TEST(hand_over_policy_test, nothing_is_handed_over_in_the_pause_after_a_hand_over)
{
    EXPECT_EQ(reason({.fitness = weak, .paused = true, .store_answers = true}, {member(strong)}),
              "");
}

// A coordinator whose writes or reads never finished used to keep the leader key.
TEST(hand_over_policy_test, a_stalled_coordinator_resigns_while_the_store_answers_it)
{
    coordinator_condition own{
        .fitness = strong, .writes_stalled = milliseconds(3100), .store_answers = true};
    EXPECT_EQ(reason(own, {member(weak)}), "writes_stalled");
    own.writes_stalled = milliseconds(0);
    own.load_stalled = milliseconds(3100);
    EXPECT_EQ(reason(own, {member(weak)}), "load_stalled");
    EXPECT_EQ(reason(own, {}), "") << "nobody could take over";
    own.store_answers = false;
    EXPECT_EQ(reason(own, {member(weak)}), "") << "the store may be away for all";
    // On a saturated link the answers to renewals are late too: only a member can tell.
    auto checked = member(weak);
    checked.store_checked = true;
    EXPECT_EQ(reason(own, {member(weak), checked}), "load_stalled");
}

TEST(hand_over_policy_test, a_late_loop_is_a_reason_only_some_time_after_the_election)
{
    coordinator_condition own{
        .fitness = strong, .loop_lag = milliseconds(400), .since_change = milliseconds(500)};
    EXPECT_EQ(reason(own, {member(strong)}), "");
    own.since_change = milliseconds(2500);
    EXPECT_EQ(reason(own, {member(strong)}), "slow");
    EXPECT_EQ(reason(own, {member(strong, milliseconds(200))}), "");
}

// On a link that carries a page in 3.7 s, each coordinator used to hand over before its first page.
TEST(hand_over_policy_test, a_page_that_the_link_carries_slowly_is_no_stall)
{
    coordinator_condition own{.fitness = {.processor_share = 0.5, .link_mbps = 3},
                              .load_stalled = milliseconds(5000),
                              .store_answers = true};
    EXPECT_EQ(reason(own, {member(own.fitness)}), "");
    own.load_stalled = milliseconds(8000);
    EXPECT_EQ(reason(own, {member(own.fitness)}), "load_stalled");
}

} // namespace
} // namespace verbenalever
