#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace verbenalever {

struct peer_state;

/// Which peer has room for a request, going by their heartbeats and by what was sent since.
class peer_capacity {
public:
    using peer_map = std::map<std::string, peer_state, std::less<>>;
    using name_set = std::set<std::string, std::less<>>;

    /// @param availability_zone this entry's own; peers there go first
    /// @param seed              of the choice between peers
    peer_capacity(std::string availability_zone, std::uint64_t seed);

    /// Choose by the power of two choices among the peers of the own zone that have room, else
    /// among the others.
    /// @return the peer's name, empty when none has room
    [[nodiscard]] std::string_view choose(const peer_map& peers, const name_set& avoided,
                                          monotonic_time now);

    /// Count one request sent to a peer against the room that it told.
    void record_sent(const peer_state& peer);

    /// Take a peer that refused as full until its next heartbeat.
    void record_refusal(const peer_state& peer);

    /// Leave a peer that gave no answer alone for a while.
    void record_no_answer(std::string_view peer, monotonic_time now);

private:
    /// What was sent to one peer since its newest heartbeat.
    struct peer_usage {
        monotonic_time heartbeat_at;
        std::int64_t sent = 0;
        monotonic_time avoided_until;
    };

    [[nodiscard]] std::int64_t free_slots(const peer_state& peer, monotonic_time now);
    peer_usage& current_usage(const peer_state& peer);

    std::string availability_zone;
    std::mt19937_64 random;
    std::map<std::string, peer_usage, std::less<>> usage_by_peer;
};

} // namespace verbenalever
