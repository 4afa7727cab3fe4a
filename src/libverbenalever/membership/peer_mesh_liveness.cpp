// The part of peer_mesh that detects silent connections and silent peers.

#include "membership/peer_mesh.h"

#include "membership/probe_request.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"
#include "wire/frame_connection.h"

namespace verbenalever {

namespace {

/// Silence, in heartbeat intervals, after which a connection is replaced and other entry daemons
/// are asked about the peer.
constexpr int suspicion_heartbeats = 2;

/// Silence, in heartbeat intervals, after which a peer is marked as silent unless another entry
/// daemon has confirmed that it is alive.
constexpr int silent_peer_heartbeats = 3;

/// Silence, in heartbeat intervals, after which a connection that a peer opened is closed.
constexpr int idle_incoming_heartbeats = 30;

/// Number of entry daemons asked about a silent peer at each check, those of the own zone first.
constexpr int max_probe_requests = 3;

} // namespace

void peer_mesh::check_peers()
{
    this->closed_connections.clear();
    if (!this->peer_states.empty())
        this->seeds.clear();
    const auto now = monotonic_clock::now();
    for (auto& [name, peer] : this->peer_states)
        this->check_peer(peer, now);
    this->drop_idle_incoming(now);
}

void peer_mesh::check_peer(peer_state& peer, monotonic_time now)
{
    const auto interval = this->settings.heartbeat_interval;
    if (const auto found = this->outgoing.find(peer.name);
        found != this->outgoing.end() &&
        now - found->second->last_received() > suspicion_heartbeats * interval) {
        this->log.write("membership", "connection_silent", {{"peer", peer.name}});
        this->metrics.add("peer_connections_replaced");
        this->close_outgoing(peer.name);
        this->connect_to(peer);
        this->send(peer.name, this->make_heartbeat());
    }
    if (!peer.alive || now - peer.last_heard <= suspicion_heartbeats * interval)
        return;
    this->send_probe_requests(peer);
    if (now - peer.last_heard > silent_peer_heartbeats * interval &&
        now > peer.probe_confirmed_until)
        this->mark_silent(peer);
}

void peer_mesh::mark_silent(peer_state& peer)
{
    peer.alive = false;
    this->log.write("membership", "peer_silent", {{"peer", peer.name}});
    if (this->liveness_changed)
        this->liveness_changed(peer);
}

void peer_mesh::send_probe_requests(const peer_state& silent)
{
    int asked = 0;
    for (const bool own_zone : {true, false}) {
        for (const auto& [name, peer] : this->peer_states) {
            const bool in_own_zone = peer.availability_zone == this->settings.availability_zone;
            if (!peer.alive || name == silent.name || in_own_zone != own_zone)
                continue;
            if (++asked > max_probe_requests)
                return;
            this->send(name, probe_request{.peer = silent.name});
        }
    }
}

void peer_mesh::drop_idle_incoming(monotonic_time now)
{
    const auto limit = idle_incoming_heartbeats * this->settings.heartbeat_interval;
    std::erase_if(this->incoming, [now, limit](const auto& entry) {
        return now - entry.second->last_received() > limit;
    });
}

} // namespace verbenalever
