#include "scheduling/usage_exchange.h"

#include "membership/peer_mesh.h"
#include "scheduling/share_ledger.h"

namespace verbenalever {

usage_exchange::usage_exchange(event_loop& loop, peer_mesh& mesh, share_ledger& ledger,
                               milliseconds interval)
    : mesh(mesh), ledger(ledger), report(ledger), interval(interval),
      tick_timer(loop, [this] { this->tick(); })
{
    this->mesh.on<team_usage>([this](const std::string& from, const team_usage& message) {
        apply_usage(this->ledger, from, message, monotonic_clock::now());
    });
}

void usage_exchange::start()
{
    this->tick_timer.start_repeating(this->interval);
}

void usage_exchange::tick()
{
    std::set<std::string, std::less<>> now_alive;
    for (const auto& [name, peer] : this->mesh.peers()) {
        if (peer.alive)
            now_alive.insert(name);
    }
    // What a silent peer's targets run is counted by whoever takes the targets over.
    for (const auto& name : this->alive) {
        if (!now_alive.contains(name))
            this->ledger.remove_peer(name, monotonic_clock::now());
    }
    const auto changes = this->report.changes();
    for (const auto& name : now_alive) {
        if (!this->alive.contains(name))
            this->mesh.send(name, this->report.complete());
        else
            this->mesh.send(name, changes);
    }
    this->alive = std::move(now_alive);
}

} // namespace verbenalever
