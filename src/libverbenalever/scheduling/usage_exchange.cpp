#include "scheduling/usage_exchange.h"

#include "membership/peer_mesh.h"
#include "scheduling/share_ledger.h"

namespace verbenalever {

usage_exchange::usage_exchange(event_loop& loop, peer_mesh& mesh, share_ledger& ledger,
                               milliseconds interval)
    : mesh(mesh), ledger(ledger), reporter(ledger), interval(interval),
      send_timer(loop, [this] { this->send_usage(); })
{
    this->mesh.on<team_usage>([this](const std::string& from, const team_usage& message) {
        apply_usage(this->ledger, from, message, monotonic_clock::now());
    });
}

void usage_exchange::start()
{
    this->send_timer.start_repeating(this->interval);
}

void usage_exchange::send_usage()
{
    std::set<std::string, std::less<>> alive_now;
    for (const auto& [name, peer] : this->mesh.peers()) {
        if (peer.alive)
            alive_now.insert(name);
    }
    // Usage on the targets of a lost peer is reported by the entry daemons that take the targets
    // over.
    for (const auto& name : this->alive_peers) {
        if (!alive_now.contains(name))
            this->ledger.remove_peer(name, monotonic_clock::now());
    }
    const auto changes = this->reporter.next_message();
    for (const auto& name : alive_now) {
        if (!this->alive_peers.contains(name))
            this->mesh.send(name, this->reporter.full_message());
        else
            this->mesh.send(name, changes);
    }
    this->alive_peers = std::move(alive_now);
}

} // namespace verbenalever
