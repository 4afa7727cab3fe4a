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
class peer_room {
public:
    using peer_map = std::map<std::string, peer_state, std::less<>>;
    using name_set = std::set<std::string, std::less<>>;

    /// @param availability_zone this entry's own; peers there go first
    /// @param seed              of the choice between peers
    peer_room(std::string availability_zone, std::uint64_t seed);

    /// Choose by the power of two choices among the peers of the own zone that have room, else
    /// among the others.
    /// @return the peer's name, empty when none has room
    [[nodiscard]] std::string_view choose(const peer_map& peers, const name_set& avoided,
                                          monotonic_time now);

    /// Count one request sent to a peer against the room that it told.
    void sent(const peer_state& peer);

    /// Take a peer that refused as full until its next heartbeat.
    void refused(const peer_state& peer);

    /// Leave a peer that gave no answer alone for a while.
    void unanswered(std::string_view peer, monotonic_time now);

private:
    /// What was sent to one peer since its newest heartbeat.
    struct usage {
        monotonic_time heartbeat;
        std::int64_t sent = 0;
        monotonic_time avoided_until;
    };

    [[nodiscard]] std::int64_t room(const peer_state& peer, monotonic_time now);
    usage& usage_of(const peer_state& peer);

    std::string availability_zone;
    std::mt19937_64 random;
    std::map<std::string, usage, std::less<>> usages;
};

} // namespace verbenalever
