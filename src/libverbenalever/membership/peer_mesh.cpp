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

/// Heartbeat intervals for which the word of another entry stands for a silent peer.
constexpr int vouched_heartbeats = 2;

/// Looks at peers and connections for each heartbeat interval.
constexpr int watches_per_heartbeat = 5;

/// A process younger than this whose incarnation is behind takes a greater one: its clock is
/// behind that of the process before it. An older one has been superseded.
constexpr milliseconds young_process{10'000};

} // namespace

peer_mesh::peer_mesh(event_loop& loop, const entry_settings& settings, counters& metrics,
                     const event_log& log)
    : loop(loop), settings(settings), metrics(metrics), log(log),
      incarnation(static_cast<std::uint64_t>(wall_microseconds())), started(monotonic_clock::now()),
      heartbeat_timer(loop, [this] { this->announce(); }),
      watch_timer(loop, [this] { this->watch(); })
{
    this->on<heartbeat_ack>(
        [this](const std::string&, const heartbeat_ack& message) { this->acknowledged(message); });
    this->on<probe_request>([this](const std::string& from, const probe_request& message) {
        const auto found = this->states.find(message.peer);
        const auto fresh = this->settings.heartbeat_interval * 3 / 2;
        if (found != this->states.end() &&
            monotonic_clock::now() - found->second.last_heard < fresh)
            this->send(from, probe_answer{.peer = message.peer});
    });
    this->on<probe_answer>([this](const std::string&, const probe_answer& message) {
        if (const auto found = this->states.find(message.peer); found != this->states.end())
            found->second.vouched_until =
                monotonic_clock::now() + vouched_heartbeats * this->settings.heartbeat_interval;
    });
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
    this->watch_timer.start_repeating(this->settings.heartbeat_interval / watches_per_heartbeat);
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
            this->close_outgoing(vm.name);
        peer.name = vm.name;
        peer.address = vm.address;
        peer.availability_zone = vm.availability_zone;
        peer.leaving = vm.leaving;
    }
    std::erase_if(this->states, [&named, this](const auto& entry) {
        const bool gone = !named.contains(entry.first) && !entry.second.alive;
        if (gone)
            this->close_outgoing(entry.first);
        return gone;
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

heartbeat peer_mesh::own_heartbeat()
{
    heartbeat message{.availability_zone = this->settings.availability_zone,
                      .http = this->settings.http.text(),
                      .peer = this->settings.peer.text(),
                      .incarnation = this->incarnation};
    this->describe(message);
    this->draining = message.draining;
    return message;
}

void peer_mesh::announce()
{
    const auto message = this->own_heartbeat();
    for (auto& [name, peer] : this->states) {
        if (!this->outgoing.contains(name))
            this->open(peer);
    }
    this->broadcast(message);
    if (this->states.empty())
        this->ask_seeds();
}

void peer_mesh::ask_seeds()
{
    for (const auto& seed : this->settings.seeds) {
        auto& connection = this->seeds[seed.text()];
        if (connection != nullptr)
            this->closed.push_back(std::move(connection));
        auto opened = frame_connection::connect(this->loop, seed, this->settings.peer.address);
        if (!opened.ok())
            continue;
        connection = *std::move(opened);
        connection->set_handlers([this](std::string_view frame) { this->receive(frame, nullptr); },
                                 {});
        connection->send(this->frame_of(vm_list_request::type,
                                        pack_message(vm_list_request{.reason = "no members"})));
    }
}

std::string peer_mesh::frame_of(std::string_view type, const std::string& body) const
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
    const auto frame = this->frame_of(type, body);
    this->metrics.add("peer_messages_sent");
    this->metrics.add("peer_bytes_sent", static_cast<std::int64_t>(frame.size()));
    found->second->send(frame);
}

void peer_mesh::reply_packed(std::string_view peer, std::string_view type, const std::string& body)
{
    if (this->reply_by == nullptr)
        return this->send_packed(peer, type, body);
    const auto frame = this->frame_of(type, body);
    this->metrics.add("peer_messages_sent");
    this->metrics.add("peer_bytes_sent", static_cast<std::int64_t>(frame.size()));
    this->reply_by->send(frame);
}

void peer_mesh::close_outgoing(std::string_view peer)
{
    // Destroyed later: the connection may be the one whose message is being handled.
    if (const auto found = this->outgoing.find(peer); found != this->outgoing.end()) {
        found->second->set_handlers({}, {});
        this->closed.push_back(std::move(found->second));
        this->outgoing.erase(found);
    }
}

void peer_mesh::open(peer_state& peer)
{
    auto connection =
        frame_connection::connect(this->loop, peer.address, this->settings.peer.address);
    if (!connection.ok())
        return;
    auto* placed = connection->get();
    this->outgoing[peer.name] = *std::move(connection);
    placed->set_handlers([this](std::string_view frame) { this->receive(frame, nullptr); },
                         [this, name = peer.name] {
                             if (auto node = this->outgoing.extract(name))
                                 this->closed.push_back(std::move(node.mapped()));
                         });
}

void peer_mesh::accept(std::unique_ptr<frame_connection> connection)
{
    auto* placed = connection.get();
    this->incoming.emplace(placed, std::move(connection));
    placed->set_handlers([this, placed](std::string_view frame) { this->receive(frame, placed); },
                         [this, placed] {
                             if (auto node = this->incoming.extract(placed))
                                 this->closed.push_back(std::move(node.mapped()));
                         });
}

void peer_mesh::receive(std::string_view frame, frame_connection* came_by)
{
    this->metrics.add("peer_messages_received");
    const auto envelope = unpack_message<peer_envelope>(frame);
    if (!envelope.ok()) {
        this->metrics.add("peer_messages_malformed");
        return;
    }
    const bool current = this->is_current(*envelope);
    if (came_by != nullptr && envelope->type == heartbeat::type)
        this->acknowledge(envelope->from, *came_by);
    if (!current) {
        this->metrics.add("peer_messages_of_older_incarnations");
        return;
    }
    this->reply_by = came_by;
    if (const auto found = this->handlers.find(envelope->type); found != this->handlers.end())
        found->second(envelope->from, envelope->body);
    else
        this->metrics.add("peer_messages_of_unknown_type");
    this->reply_by = nullptr;
}

bool peer_mesh::is_current(const peer_envelope& envelope)
{
    const auto found = this->states.find(envelope.from);
    if (found == this->states.end())
        return true;
    auto& peer = found->second;
    if (envelope.incarnation < peer.incarnation)
        return false;
    if (envelope.incarnation > peer.incarnation) {
        if (peer.incarnation != 0)
            this->log.write("membership", "peer_restarted", {{"peer", peer.name}});
        peer.incarnation = envelope.incarnation;
        peer.last = {};
    }
    return true;
}

void peer_mesh::acknowledge(const std::string& from, frame_connection& by)
{
    const auto found = this->states.find(from);
    const auto known = found == this->states.end() ? 0 : found->second.incarnation;
    const auto frame = this->frame_of(
        heartbeat_ack::type,
        pack_message(heartbeat_ack{.incarnation = this->incarnation, .known_incarnation = known}));
    this->metrics.add("peer_messages_sent");
    this->metrics.add("peer_bytes_sent", static_cast<std::int64_t>(frame.size()));
    by.send(frame);
}

void peer_mesh::acknowledged(const heartbeat_ack& message)
{
    if (message.known_incarnation <= this->incarnation)
        return;
    if (monotonic_clock::now() - this->started < young_process) {
        this->incarnation = message.known_incarnation + 1;
        return;
    }
    this->log.write("membership", "superseded");
    if (this->superseded)
        this->superseded();
}

void peer_mesh::heard(const std::string& from, const heartbeat& message)
{
    auto found = this->states.find(from);
    if (found == this->states.end()) {
        // The platform's list lags, or cannot be read: who speaks is there.
        auto address = endpoint::parse(message.peer);
        if (!address.ok() || from == this->settings.name)
            return;
        found = this->states
                    .emplace(from, peer_state{.name = from,
                                              .address = *std::move(address),
                                              .availability_zone = message.availability_zone,
                                              .incarnation = message.incarnation})
                    .first;
    }
    auto& peer = found->second;
    peer.last = message;
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
