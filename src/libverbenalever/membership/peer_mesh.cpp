#include "membership/peer_mesh.h"

#include "membership/heartbeat_ack.h"
#include "membership/probe_answer.h"
#include "membership/probe_request.h"
#include "membership/vm_list_request.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"
#include "wire/frame_connection.h"
#include "wire/frame_listener.h"

namespace verbenalever {

namespace {

/// Heartbeat intervals for which a probe answer keeps a silent peer from being marked as silent.
constexpr int probe_valid_heartbeats = 2;

/// Checks of peers and connections per heartbeat interval.
constexpr int checks_per_heartbeat = 5;

/// Incarnations are start times. A process that learns within this time of its start that a greater
/// incarnation is known takes a greater one still: the clock of the previous process was ahead.
/// Later it means that a newer process has superseded this one.
constexpr milliseconds incarnation_adjustment_time{10'000};

} // namespace

peer_mesh::peer_mesh(event_loop& loop, const entry_settings& settings, counters& metrics,
                     const event_log& log)
    : loop(loop), settings(settings), metrics(metrics), log(log),
      incarnation(static_cast<std::uint64_t>(wall_microseconds())), started(monotonic_clock::now()),
      heartbeat_timer(loop, [this] { this->send_heartbeats(); }),
      check_timer(loop, [this] { this->check_peers(); })
{
    this->on<heartbeat_ack>(
        [this](const std::string&, const heartbeat_ack& message) { this->apply_ack(message); });
    this->on<probe_request>([this](const std::string& from, const probe_request& message) {
        const auto found = this->peer_states.find(message.peer);
        const auto max_age = this->settings.heartbeat_interval * 3 / 2;
        if (found != this->peer_states.end() &&
            monotonic_clock::now() - found->second.last_heard < max_age)
            this->send(from, probe_answer{.peer = message.peer});
    });
    this->on<probe_answer>([this](const std::string&, const probe_answer& message) {
        if (const auto found = this->peer_states.find(message.peer);
            found != this->peer_states.end())
            found->second.probe_confirmed_until =
                monotonic_clock::now() + probe_valid_heartbeats * this->settings.heartbeat_interval;
    });
    this->on<heartbeat>([this](const std::string& from, const heartbeat& message) {
        this->apply_heartbeat(from, message);
    });
}

peer_mesh::~peer_mesh() = default;

absl::Status peer_mesh::start(std::function<void(heartbeat&)> fill_heartbeat)
{
    this->fill_heartbeat = std::move(fill_heartbeat);
    auto listening = frame_listener::listen(this->loop, this->settings.peer,
                                            [this](std::unique_ptr<frame_connection> connection) {
                                                this->accept(std::move(connection));
                                            });
    if (!listening.ok())
        return listening.status();
    this->listener = *std::move(listening);
    this->heartbeat_timer.start_repeating(this->settings.heartbeat_interval);
    this->check_timer.start_repeating(this->settings.heartbeat_interval / checks_per_heartbeat);
    return absl::OkStatus();
}

void peer_mesh::set_members(std::span<const vm_record> vms)
{
    std::set<std::string_view> listed_names;
    for (const auto& vm : vms) {
        if (vm.role != vm_role::entry || vm.name == this->settings.name)
            continue;
        listed_names.insert(vm.name);
        auto& peer = this->peer_states[vm.name];
        if (peer.address != vm.address)
            this->close_outgoing(vm.name);
        peer.name = vm.name;
        peer.address = vm.address;
        peer.availability_zone = vm.availability_zone;
        peer.leaving = vm.leaving;
    }
    std::erase_if(this->peer_states, [&listed_names, this](const auto& entry) {
        const bool departed = !listed_names.contains(entry.first) && !entry.second.alive;
        if (departed)
            this->close_outgoing(entry.first);
        return departed;
    });
}

void peer_mesh::on_heartbeat(handler<heartbeat> action)
{
    this->heartbeat_handlers.push_back(std::move(action));
}

void peer_mesh::on_superseded(std::function<void()> action)
{
    this->superseded = std::move(action);
}

void peer_mesh::on_liveness(std::function<void(const peer_state&)> action)
{
    this->liveness_changed = std::move(action);
}

const std::map<std::string, peer_state, std::less<>>& peer_mesh::peers() const
{
    return this->peer_states;
}

std::vector<std::string> peer_mesh::live_in_zone() const
{
    std::vector<std::string> names;
    if (!this->draining)
        names.push_back(this->settings.name);
    for (const auto& [name, peer] : this->peer_states) {
        const bool accepts_work = !peer.leaving && !peer.last_heartbeat.draining;
        if (peer.alive && accepts_work &&
            peer.availability_zone == this->settings.availability_zone)
            names.push_back(name);
    }
    return names;
}

heartbeat peer_mesh::make_heartbeat()
{
    heartbeat message{.availability_zone = this->settings.availability_zone,
                      .http = this->settings.http.text(),
                      .peer = this->settings.peer.text(),
                      .incarnation = this->incarnation};
    this->fill_heartbeat(message);
    this->draining = message.draining;
    return message;
}

void peer_mesh::send_heartbeats()
{
    const auto message = this->make_heartbeat();
    for (auto& [name, peer] : this->peer_states) {
        if (!this->outgoing.contains(name))
            this->connect_to(peer);
    }
    this->broadcast(message);
    if (this->peer_states.empty())
        this->request_vm_list_from_seeds();
}

void peer_mesh::request_vm_list_from_seeds()
{
    for (const auto& seed : this->settings.seeds) {
        auto& connection = this->seeds[seed.text()];
        if (connection != nullptr)
            this->closed_connections.push_back(std::move(connection));
        auto opened = frame_connection::connect(this->loop, seed, this->settings.peer.address);
        if (!opened.ok())
            continue;
        connection = *std::move(opened);
        connection->set_handlers([this](std::string_view frame) { this->receive(frame, nullptr); },
                                 {});
        connection->send(this->make_frame(vm_list_request::type,
                                          pack_message(vm_list_request{.reason = "no members"})));
    }
}

std::string peer_mesh::make_frame(std::string_view type, const std::string& body) const
{
    return pack_message(peer_envelope{.type = std::string(type),
                                      .from = this->settings.name,
                                      .incarnation = this->incarnation,
                                      .body = body});
}

void peer_mesh::send_packed(std::string_view peer, std::string_view type, const std::string& body)
{
    const auto found = this->outgoing.find(peer);
    if (found == this->outgoing.end())
        return;
    const auto frame = this->make_frame(type, body);
    this->metrics.add("peer_messages_sent");
    this->metrics.add("peer_bytes_sent", static_cast<std::int64_t>(frame.size()));
    found->second->send(frame);
}

void peer_mesh::reply_packed(std::string_view peer, std::string_view type, const std::string& body)
{
    if (this->reply_connection == nullptr)
        return this->send_packed(peer, type, body);
    const auto frame = this->make_frame(type, body);
    this->metrics.add("peer_messages_sent");
    this->metrics.add("peer_bytes_sent", static_cast<std::int64_t>(frame.size()));
    this->reply_connection->send(frame);
}

void peer_mesh::close_outgoing(std::string_view peer)
{
    // Destroyed later: it may be the connection whose message is being handled.
    if (const auto found = this->outgoing.find(peer); found != this->outgoing.end()) {
        found->second->set_handlers({}, {});
        this->closed_connections.push_back(std::move(found->second));
        this->outgoing.erase(found);
    }
}

void peer_mesh::connect_to(peer_state& peer)
{
    auto connection =
        frame_connection::connect(this->loop, peer.address, this->settings.peer.address);
    if (!connection.ok())
        return;
    auto* raw_connection = connection->get();
    this->outgoing[peer.name] = *std::move(connection);
    raw_connection->set_handlers([this](std::string_view frame) { this->receive(frame, nullptr); },
                                 [this, name = peer.name] {
                                     if (auto node = this->outgoing.extract(name))
                                         this->closed_connections.push_back(
                                             std::move(node.mapped()));
                                 });
}

void peer_mesh::accept(std::unique_ptr<frame_connection> connection)
{
    auto* raw_connection = connection.get();
    this->incoming.emplace(raw_connection, std::move(connection));
    raw_connection->set_handlers(
        [this, raw_connection](std::string_view frame) { this->receive(frame, raw_connection); },
        [this, raw_connection] {
            if (auto node = this->incoming.extract(raw_connection))
                this->closed_connections.push_back(std::move(node.mapped()));
        });
}

void peer_mesh::receive(std::string_view frame, frame_connection* incoming_connection)
{
    this->metrics.add("peer_messages_received");
    const auto envelope = unpack_message<peer_envelope>(frame);
    if (!envelope.ok()) {
        this->metrics.add("peer_messages_malformed");
        return;
    }
    const bool current = this->is_current(*envelope);
    if (incoming_connection != nullptr && envelope->type == heartbeat::type)
        this->send_ack(envelope->from, *incoming_connection);
    if (!current) {
        this->metrics.add("peer_messages_of_older_incarnations");
        return;
    }
    this->reply_connection = incoming_connection;
    if (const auto found = this->handlers.find(envelope->type); found != this->handlers.end())
        found->second(envelope->from, envelope->body);
    else
        this->metrics.add("peer_messages_of_unknown_type");
    this->reply_connection = nullptr;
}

bool peer_mesh::is_current(const peer_envelope& envelope)
{
    const auto found = this->peer_states.find(envelope.from);
    if (found == this->peer_states.end())
        return true;
    auto& peer = found->second;
    if (envelope.incarnation < peer.incarnation)
        return false;
    if (envelope.incarnation > peer.incarnation) {
        if (peer.incarnation != 0)
            this->log.write("membership", "peer_restarted", {{"peer", peer.name}});
        peer.incarnation = envelope.incarnation;
        peer.last_heartbeat = {};
    }
    return true;
}

void peer_mesh::send_ack(const std::string& from, frame_connection& by)
{
    const auto found = this->peer_states.find(from);
    const auto known = found == this->peer_states.end() ? 0 : found->second.incarnation;
    const auto frame = this->make_frame(
        heartbeat_ack::type,
        pack_message(heartbeat_ack{.incarnation = this->incarnation, .known_incarnation = known}));
    this->metrics.add("peer_messages_sent");
    this->metrics.add("peer_bytes_sent", static_cast<std::int64_t>(frame.size()));
    by.send(frame);
}

void peer_mesh::apply_ack(const heartbeat_ack& message)
{
    if (message.known_incarnation <= this->incarnation)
        return;
    if (monotonic_clock::now() - this->started < incarnation_adjustment_time) {
        this->incarnation = message.known_incarnation + 1;
        return;
    }
    this->log.write("membership", "superseded");
    if (this->superseded)
        this->superseded();
}

void peer_mesh::apply_heartbeat(const std::string& from, const heartbeat& message)
{
    auto found = this->peer_states.find(from);
    if (found == this->peer_states.end()) {
        // The VM list is late or cannot be read, but the sender evidently exists.
        auto address = endpoint::parse(message.peer);
        if (!address.ok() || from == this->settings.name)
            return;
        found = this->peer_states
                    .emplace(from, peer_state{.name = from,
                                              .address = *std::move(address),
                                              .availability_zone = message.availability_zone,
                                              .incarnation = message.incarnation})
                    .first;
    }
    auto& peer = found->second;
    peer.last_heartbeat = message;
    peer.last_heard = monotonic_clock::now();
    if (!peer.alive) {
        peer.alive = true;
        this->log.write("membership", "peer_alive", {{"peer", from}});
        if (this->liveness_changed)
            this->liveness_changed(peer);
    }
    for (const auto& handler : this->heartbeat_handlers)
        handler(from, message);
}

} // namespace verbenalever
