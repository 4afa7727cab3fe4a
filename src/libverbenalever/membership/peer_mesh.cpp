#include "membership/peer_mesh.h"

#include "membership/heartbeat_ack.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"
#include "wire/frame_connection.h"
#include "wire/frame_listener.h"

namespace verbenalever {

namespace {

/// Heartbeats that may be missed before a peer, or a connection, counts as silent.
constexpr int missed_heartbeats = 3;

} // namespace

peer_mesh::peer_mesh(event_loop& loop, const entry_settings& settings, counters& metrics,
                     const event_log& log)
    : loop(loop), settings(settings), metrics(metrics), log(log),
      incarnation(static_cast<std::uint64_t>(wall_microseconds())),
      heartbeat_timer(loop, [this] { this->tick(); })
{
    this->on<heartbeat>(
        [this](const std::string& from, const heartbeat& message) { this->heard(from, message); });
}

peer_mesh::~peer_mesh() = default;

absl::Status peer_mesh::start(std::function<void(heartbeat&)> describe)
{
    this->describe = std::move(describe);
    auto listening = frame_listener::listen(this->loop, this->settings.peer,
                                            [this](std::unique_ptr<frame_connection> connection) {
                                                this->accept(std::move(connection));
                                            });
    if (!listening.ok())
        return listening.status();
    this->listener = *std::move(listening);
    this->heartbeat_timer.start_repeating(this->settings.heartbeat_interval);
    return absl::OkStatus();
}

void peer_mesh::set_members(std::span<const vm_record> vms)
{
    std::set<std::string_view> named;
    for (const auto& vm : vms) {
        if (vm.role != vm_role::entry || vm.name == this->settings.name)
            continue;
        named.insert(vm.name);
        auto& peer = this->states[vm.name];
        if (peer.address != vm.address)
            this->outgoing.erase(vm.name);
        peer.name = vm.name;
        peer.address = vm.address;
        peer.availability_zone = vm.availability_zone;
        peer.leaving = vm.leaving;
    }
    std::erase_if(this->states, [&named, this](const auto& entry) {
        const bool gone = !named.contains(entry.first) && !entry.second.alive;
        if (gone)
            this->outgoing.erase(entry.first);
        return gone;
    });
}

void peer_mesh::on_liveness(std::function<void(const peer_state&)> action)
{
    this->liveness_changed = std::move(action);
}

const std::map<std::string, peer_state, std::less<>>& peer_mesh::peers() const
{
    return this->states;
}

std::vector<std::string> peer_mesh::live_in_zone() const
{
    std::vector<std::string> names;
    if (!this->draining)
        names.push_back(this->settings.name);
    for (const auto& [name, peer] : this->states) {
        const bool stays = !peer.leaving && !peer.last.draining;
        if (peer.alive && stays && peer.availability_zone == this->settings.availability_zone)
            names.push_back(name);
    }
    return names;
}

void peer_mesh::tick()
{
    this->closed.clear();
    heartbeat message{.availability_zone = this->settings.availability_zone,
                      .http = this->settings.http.text(),
                      .incarnation = this->incarnation};
    this->describe(message);
    this->draining = message.draining;
    const auto now = monotonic_clock::now();
    for (auto& [name, peer] : this->states) {
        this->check_liveness(peer, now);
        if (!this->outgoing.contains(name))
            this->open(peer);
        this->send(name, message);
    }
}

void peer_mesh::check_liveness(peer_state& peer, monotonic_time now)
{
    const auto silence_limit = missed_heartbeats * this->settings.heartbeat_interval;
    if (const auto found = this->outgoing.find(peer.name);
        found != this->outgoing.end() && now - found->second->last_received() > silence_limit) {
        this->log.write("membership", "connection_silent", {{"peer", peer.name}});
        this->metrics.add("peer_connections_replaced");
        this->outgoing.erase(found);
    }
    if (!peer.alive || now - peer.last_heard <= silence_limit)
        return;
    peer.alive = false;
    this->log.write("membership", "peer_silent", {{"peer", peer.name}});
    if (this->liveness_changed)
        this->liveness_changed(peer);
}

void peer_mesh::send_packed(std::string_view peer, std::string_view type, const std::string& body)
{
    const auto found = this->outgoing.find(peer);
    if (found == this->outgoing.end())
        return;
    const auto frame = pack_message(
        peer_envelope{.type = std::string(type), .from = this->settings.name, .body = body});
    this->metrics.add("peer_messages_sent");
    this->metrics.add("peer_bytes_sent", static_cast<std::int64_t>(frame.size()));
    found->second->send(frame);
}

void peer_mesh::open(peer_state& peer)
{
    auto connection =
        frame_connection::connect(this->loop, peer.address, this->settings.peer.address);
    if (!connection.ok())
        return;
    auto* placed = connection->get();
    this->outgoing[peer.name] = *std::move(connection);
    placed->on_events([this](std::string_view frame) { this->receive(frame, nullptr); },
                      [this, name = peer.name] {
                          if (auto node = this->outgoing.extract(name))
                              this->closed.push_back(std::move(node.mapped()));
                      });
}

void peer_mesh::accept(std::unique_ptr<frame_connection> connection)
{
    auto* placed = connection.get();
    this->incoming.emplace(placed, std::move(connection));
    placed->on_events([this, placed](std::string_view frame) { this->receive(frame, placed); },
                      [this, placed] {
                          if (auto node = this->incoming.extract(placed))
                              this->closed.push_back(std::move(node.mapped()));
                      });
}

void peer_mesh::receive(std::string_view frame, frame_connection* answer_by)
{
    this->metrics.add("peer_messages_received");
    const auto envelope = unpack_message<peer_envelope>(frame);
    if (!envelope.ok()) {
        this->metrics.add("peer_messages_malformed");
        return;
    }
    if (const auto found = this->handlers.find(envelope->type); found != this->handlers.end())
        found->second(envelope->from, envelope->body);
    else if (envelope->type != heartbeat_ack::type)
        this->metrics.add("peer_messages_of_unknown_type");
    if (answer_by != nullptr && envelope->type == heartbeat::type) {
        answer_by->send(pack_message(
            peer_envelope{.type = heartbeat_ack::type,
                          .from = this->settings.name,
                          .body = pack_message(heartbeat_ack{.incarnation = this->incarnation})}));
    }
}

void peer_mesh::heard(const std::string& from, const heartbeat& message)
{
    const auto found = this->states.find(from);
    if (found == this->states.end())
        return;
    auto& peer = found->second;
    if (message.incarnation < peer.last.incarnation)
        return;
    peer.last = message;
    peer.last_heard = monotonic_clock::now();
    if (peer.alive)
        return;
    peer.alive = true;
    this->log.write("membership", "peer_alive", {{"peer", from}});
    if (this->liveness_changed)
        this->liveness_changed(peer);
}

} // namespace verbenalever
