#include "configuration/configuration_distributor.h"

#include "configuration/configuration_reply.h"
#include "configuration/configuration_request.h"
#include "configuration/configuration_store.h"
#include "configuration/restriction_ack.h"
#include "configuration/restriction_notice.h"
#include "membership/peer_mesh.h"

namespace verbenalever {

namespace {

constexpr milliseconds compare_interval{500};
/// Time that the watch on the store has to deliver a revision before a peer is asked for it.
constexpr milliseconds watch_grace_period{1000};

} // namespace

configuration_distributor::configuration_distributor(event_loop& loop,
                                                     configuration_store& configuration,
                                                     peer_mesh& mesh)
    : configuration(configuration), mesh(mesh), compare_timer(loop, [this] { this->synchronize(); })
{
    this->mesh.on<configuration_request>(
        [this](const std::string& from, const configuration_request& message) {
            this->handle_request(from, message);
        });
    this->mesh.on<configuration_reply>(
        [this](const std::string&, const configuration_reply& message) {
            this->handle_reply(message);
        });
    this->mesh.on<restriction_notice>(
        [this](const std::string& from, const restriction_notice& message) {
            this->handle_restriction_notice(from, message);
        });
    this->mesh.on<restriction_ack>([this](const std::string& from, const restriction_ack& message) {
        this->handle_ack(from, message);
    });
}

void configuration_distributor::start()
{
    this->compare_timer.start_repeating(compare_interval);
}

void configuration_distributor::synchronize()
{
    this->request_newer_revision();
    this->send_restrictions();
}

void configuration_distributor::request_newer_revision()
{
    const auto known = this->configuration.stored().revision;
    const peer_state* newest = nullptr;
    for (const auto& [name, peer] : this->mesh.peers()) {
        const auto peer_revision = peer.last_heartbeat.configuration_revision;
        if (peer.alive && peer_revision > known &&
            (newest == nullptr || peer_revision > newest->last_heartbeat.configuration_revision))
            newest = &peer;
    }
    if (newest == nullptr) {
        this->newer_revision = 0;
        return;
    }
    const auto now = monotonic_clock::now();
    if (this->newer_revision == 0) {
        this->newer_revision = newest->last_heartbeat.configuration_revision;
        this->newer_revision_since = now;
    }
    if (now - this->newer_revision_since >= watch_grace_period || known == 0)
        this->mesh.send(newest->name, configuration_request{.known_revision = known});
}

void configuration_distributor::handle_request(const std::string& from,
                                               const configuration_request& message)
{
    const auto& stored = this->configuration.stored();
    if (stored.revision > message.known_revision)
        this->mesh.send(from, configuration_reply{.document = stored.encode()});
}

void configuration_distributor::handle_reply(const configuration_reply& message)
{
    this->configuration.apply_if_newer(message.document, 0);
}

void configuration_distributor::send_restrictions()
{
    if (this->configuration.restrictions().all().empty())
        return;
    for (const auto& [name, peer] : this->mesh.peers()) {
        if (auto unacknowledged_restrictions = this->unacknowledged(peer);
            !unacknowledged_restrictions.empty())
            this->mesh.send(
                name, restriction_notice{.restrictions = std::move(unacknowledged_restrictions)});
    }
}

bool configuration_distributor::acknowledged(std::string_view peer, std::string_view id) const
{
    const auto found = this->acknowledgements.find(peer);
    return found != this->acknowledgements.end() && found->second.ids.contains(id);
}

std::vector<std::string> configuration_distributor::unacknowledged(const peer_state& peer) const
{
    const auto found = this->acknowledgements.find(peer.name);
    const bool forgotten = found == this->acknowledgements.end() ||
                           found->second.incarnation < peer.last_heartbeat.incarnation;
    std::vector<std::string> unacknowledged_restrictions;
    for (const auto& [id, member] : this->configuration.restrictions().all()) {
        if (forgotten || !found->second.ids.contains(id))
            unacknowledged_restrictions.push_back(member.encode());
    }
    return unacknowledged_restrictions;
}

void configuration_distributor::handle_restriction_notice(const std::string& from,
                                                          const restriction_notice& message)
{
    restriction_ack ack{.ids = {}, .incarnation = this->incarnation};
    bool new_here = false;
    for (const auto& text : message.restrictions) {
        auto received = restriction::decode(text);
        if (!received.ok())
            continue;
        ack.ids.push_back(received->id);
        new_here = this->configuration.add_restriction(*std::move(received)) || new_here;
    }
    this->mesh.send(from, ack);
    if (new_here)
        this->send_restrictions();
}

void configuration_distributor::handle_ack(const std::string& from, const restriction_ack& message)
{
    auto& known = this->acknowledgements[from];
    if (message.incarnation < known.incarnation)
        return;
    if (message.incarnation > known.incarnation)
        known = {.incarnation = message.incarnation, .ids = {}};
    known.ids.insert(message.ids.begin(), message.ids.end());
}

} // namespace verbenalever
