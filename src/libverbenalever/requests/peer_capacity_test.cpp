#include "requests/peer_capacity.h"

#include "membership/peer_state.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

constexpr std::uint64_t seed = 1;
const auto start = monotonic_time(std::chrono::hours(1));

peer_state peer(const std::string& name, const std::string& zone, std::int64_t free)
{
    return {.name = name,
            .availability_zone = zone,
            .last_heartbeat = {.free_slots = free},
            .last_heard = start,
            .alive = true};
}

TEST(peer_capacity, chooses_other_zones_only_when_the_own_zone_has_no_free_slots)
{
    peer_capacity capacity("a", seed);
    const peer_capacity::peer_map peers = {{"near", peer("near", "a", 2)},
                                           {"far", peer("far", "b", 9)}};
    for (int request = 0; request < 2; ++request) {
        EXPECT_EQ(capacity.choose(peers, {}, start), "near");
        capacity.record_sent(peers.at("near"));
    }
    EXPECT_EQ(capacity.choose(peers, {}, start), "far");
    EXPECT_EQ(capacity.choose(peers, {"far"}, start), "");
}

TEST(peer_capacity, counts_sent_requests_against_the_free_slots_of_the_heartbeat)
{
    peer_capacity capacity("a", seed);
    peer_capacity::peer_map peers = {{"one", peer("one", "a", 3)}};
    int sent = 0;
    while (!capacity.choose(peers, {}, start).empty()) {
        capacity.record_sent(peers.at("one"));
        ++sent;
    }
    EXPECT_EQ(sent, 3);
    peers.at("one").last_heard += milliseconds(1000);
    EXPECT_EQ(capacity.choose(peers, {}, start), "one");
    capacity.record_refusal(peers.at("one"));
    EXPECT_EQ(capacity.choose(peers, {}, start), "");
}

TEST(peer_capacity, skips_dead_leaving_draining_and_unanswering_peers)
{
    peer_capacity capacity("a", seed);
    peer_capacity::peer_map peers = {{"dead", peer("dead", "a", 3)},
                                     {"leaving", peer("leaving", "a", 3)},
                                     {"draining", peer("draining", "a", 3)},
                                     {"unanswering", peer("unanswering", "a", 3)}};
    peers.at("dead").alive = false;
    peers.at("leaving").leaving = true;
    peers.at("draining").last_heartbeat.draining = true;
    capacity.record_no_answer("unanswering", start);
    EXPECT_EQ(capacity.choose(peers, {}, start), "");
    EXPECT_EQ(capacity.choose(peers, {}, start + std::chrono::seconds(10)), "unanswering");
}

TEST(peer_capacity, chooses_the_peer_with_more_free_slots_of_two_drawn)
{
    peer_capacity capacity("a", seed);
    const peer_capacity::peer_map peers = {{"full", peer("full", "a", 1)},
                                           {"idle", peer("idle", "a", 100)}};
    int idle = 0;
    for (int draw = 0; draw < 400; ++draw)
        idle += capacity.choose(peers, {}, start) == "idle" ? 1 : 0;
    EXPECT_GT(idle, 250); // three quarters on average
}

} // namespace
} // namespace verbenalever
