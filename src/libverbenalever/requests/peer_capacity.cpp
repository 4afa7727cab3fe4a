#include "requests/peer_capacity.h"

#include "membership/peer_state.h"

#include <vector>

namespace verbenalever {

namespace {

constexpr milliseconds no_answer_pause{3000};

} // namespace

peer_capacity::peer_capacity(std::string availability_zone, std::uint64_t seed)
    : availability_zone(std::move(availability_zone)), random(seed)
{
}

peer_capacity::peer_usage& peer_capacity::current_usage(const peer_state& peer)
{
    auto& usage = this->usage_by_peer[peer.name];
    if (usage.heartbeat_at != peer.last_heard) {
        usage.heartbeat_at = peer.last_heard;
        usage.sent = 0;
    }
    return usage;
}

std::int64_t peer_capacity::free_slots(const peer_state& peer, monotonic_time now)
{
    const bool accepts_requests = peer.alive && !peer.leaving && !peer.last_heartbeat.draining;
    const auto& usage = this->current_usage(peer);
    if (!accepts_requests || now < usage.avoided_until)
        return 0;
    return peer.last_heartbeat.free_slots - usage.sent;
}

std::string_view peer_capacity::choose(const peer_map& peers, const name_set& avoided,
                                       monotonic_time now)
{
    /// A peer with free slots.
    struct candidate {
        std::string_view name;
        std::int64_t free_slots = 0;
    };
    std::vector<candidate> own_zone;
    std::vector<candidate> other_zones;
    for (const auto& [name, peer] : peers) {
        if (avoided.contains(name))
            continue;
        if (const auto free_slots = this->free_slots(peer, now); free_slots > 0) {
            auto& list = peer.availability_zone == this->availability_zone ? own_zone : other_zones;
            list.push_back({.name = name, .free_slots = free_slots});
        }
    }
    const auto& candidates = own_zone.empty() ? other_zones : own_zone;
    if (candidates.empty())
        return {};
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    const auto& first = candidates[pick(this->random)];
    const auto& second = candidates[pick(this->random)];
    return first.free_slots >= second.free_slots ? first.name : second.name;
}

void peer_capacity::record_sent(const peer_state& peer)
{
    ++this->current_usage(peer).sent;
}

void peer_capacity::record_refusal(const peer_state& peer)
{
    this->current_usage(peer).sent =
        std::max(this->current_usage(peer).sent, peer.last_heartbeat.free_slots);
}

void peer_capacity::record_no_answer(std::string_view peer, monotonic_time now)
{
    this->usage_by_peer[std::string(peer)].avoided_until = now + no_answer_pause;
}

} // namespace verbenalever
