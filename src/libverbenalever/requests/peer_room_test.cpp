#include "requests/peer_room.h"

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
            .last = {.free_slots = free},
            .last_heard = start,
            .alive = true};
}

TEST(peer_room, own_zone_goes_first_and_far_ones_follow_when_it_is_full)
{
    peer_room room("a", seed);
    const peer_room::peer_map peers = {{"near", peer("near", "a", 2)},
                                       {"far", peer("far", "b", 9)}};
    for (int request = 0; request < 2; ++request) {
        EXPECT_EQ(room.choose(peers, {}, start), "near");
        room.sent(peers.at("near"));
    }
    EXPECT_EQ(room.choose(peers, {}, start), "far");
    EXPECT_EQ(room.choose(peers, {"far"}, start), "");
}

TEST(peer_room, no_more_is_sent_than_a_peer_told_until_its_next_heartbeat)
{
    peer_room room("a", seed);
    peer_room::peer_map peers = {{"one", peer("one", "a", 3)}};
    int sent = 0;
    while (!room.choose(peers, {}, start).empty()) {
        room.sent(peers.at("one"));
        ++sent;
    }
    EXPECT_EQ(sent, 3);
    peers.at("one").last_heard += milliseconds(1000);
    EXPECT_EQ(room.choose(peers, {}, start), "one");
    room.refused(peers.at("one"));
    EXPECT_EQ(room.choose(peers, {}, start), "");
}

TEST(peer_room, silent_leaving_and_draining_peers_get_nothing)
{
    peer_room room("a", seed);
    peer_room::peer_map peers = {{"dead", peer("dead", "a", 3)},
                                 {"leaving", peer("leaving", "a", 3)},
                                 {"draining", peer("draining", "a", 3)},
                                 {"mute", peer("mute", "a", 3)}};
    peers.at("dead").alive = false;
    peers.at("leaving").leaving = true;
    peers.at("draining").last.draining = true;
    room.unanswered("mute", start);
    EXPECT_EQ(room.choose(peers, {}, start), "");
    EXPECT_EQ(room.choose(peers, {}, start + std::chrono::seconds(10)), "mute");
}

TEST(peer_room, of_two_drawn_the_one_with_more_room_gets_it)
{
    peer_room room("a", seed);
    const peer_room::peer_map peers = {{"full", peer("full", "a", 1)},
                                       {"idle", peer("idle", "a", 100)}};
    int idle = 0;
    for (int draw = 0; draw < 400; ++draw)
        idle += room.choose(peers, {}, start) == "idle" ? 1 : 0;
    EXPECT_GT(idle, 250); // three quarters on average
}

} // namespace
} // namespace verbenalever
