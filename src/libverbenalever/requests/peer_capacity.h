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

/// Chooses peers with free slots for requests. The free slots of a peer are those of its newest
/// heartbeat, less the requests that were sent to it since.
class peer_capacity {
public:
    using peer_map = std::map<std::string, peer_state, std::less<>>;
    using name_set = std::set<std::string, std::less<>>;

    /// @param availability_zone this entry daemon's own, whose peers are preferred
    /// @param seed              of the random choice between peers
    peer_capacity(std::string availability_zone, std::uint64_t seed);

    /// Choose between two random peers of the own zone with free slots, or of the other zones if it
    /// has none; the one with more free slots is chosen.
    /// @return the peer's name, empty when none has free slots
    [[nodiscard]] std::string_view choose(const peer_map& peers, const name_set& avoided,
                                          monotonic_time now);

    /// Count one request sent to a peer against the free slots of its heartbeat.
    void record_sent(const peer_state& peer);

    /// Treat a peer that refused a request as full until its next heartbeat.
    void record_refusal(const peer_state& peer);

    /// Record that a peer did not answer; it is not chosen for a few seconds.
    void record_no_answer(std::string_view peer, monotonic_time now);

private:
    /// Requests sent to one peer since its newest heartbeat.
    struct peer_usage {
        monotonic_time heartbeat_at;
        std::int64_t sent = 0;
        monotonic_time avoided_until;
    };

    [[nodiscard]] std::int64_t free_slots(const peer_state& peer, monotonic_time now);
    /// @return the peer's usage, reset if there was a newer heartbeat
    peer_usage& current_usage(const peer_state& peer);

    std::string availability_zone;
    std::mt19937_64 random;
    std::map<std::string, peer_usage, std::less<>> usage_by_peer;
};

} // namespace verbenalever
