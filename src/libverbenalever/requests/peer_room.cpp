#include "requests/peer_room.h"

#include "membership/peer_state.h"

#include <vector>

namespace verbenalever {

namespace {

constexpr milliseconds unanswered_pause{3000};

} // namespace

peer_room::peer_room(std::string availability_zone, std::uint64_t seed)
    : availability_zone(std::move(availability_zone)), random(seed)
{
}

peer_room::usage& peer_room::usage_of(const peer_state& peer)
{
    auto& found = this->usages[peer.name];
    if (found.heartbeat != peer.last_heard) {
        found.heartbeat = peer.last_heard;
        found.sent = 0;
    }
    return found;
}

std::int64_t peer_room::room(const peer_state& peer, monotonic_time now)
{
    const bool serves = peer.alive && !peer.leaving && !peer.last.draining;
    const auto& used = this->usage_of(peer);
    if (!serves || now < used.avoided_until)
        return 0;
    return peer.last.free_slots - used.sent;
}

std::string_view peer_room::choose(const peer_map& peers, const name_set& avoided,
                                   monotonic_time now)
{
    /// A peer with room.
    struct candidate {
        std::string_view name;
        std::int64_t room = 0;
    };
    std::vector<candidate> near;
    std::vector<candidate> far;
    for (const auto& [name, peer] : peers) {
        if (avoided.contains(name))
            continue;
        if (const auto free = this->room(peer, now); free > 0) {
            auto& list = peer.availability_zone == this->availability_zone ? near : far;
            list.push_back({.name = name, .room = free});
        }
    }
    const auto& candidates = near.empty() ? far : near;
    if (candidates.empty())
        return {};
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    const auto& first = candidates[pick(this->random)];
    const auto& second = candidates[pick(this->random)];
    return first.room >= second.room ? first.name : second.name;
}

void peer_room::sent(const peer_state& peer)
{
    ++this->usage_of(peer).sent;
}

void peer_room::refused(const peer_state& peer)
{
    this->usage_of(peer).sent = std::max(this->usage_of(peer).sent, peer.last.free_slots);
}

void peer_room::unanswered(std::string_view peer, monotonic_time now)
{
    this->usages[std::string(peer)].avoided_until = now + unanswered_pause;
}

} // namespace verbenalever
