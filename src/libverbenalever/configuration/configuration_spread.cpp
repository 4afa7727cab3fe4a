#include "configuration/configuration_spread.h"

#include "configuration/configuration_reply.h"
#include "configuration/configuration_request.h"
#include "configuration/configuration_store.h"
#include "configuration/restriction_ack.h"
#include "configuration/restriction_notice.h"
#include "membership/peer_mesh.h"

namespace verbenalever {

namespace {

constexpr milliseconds compare_interval{500};
/// Time for the watch to bring a revision before peers are asked for it.
constexpr milliseconds watch_head_start{1000};

} // namespace

configuration_spread::configuration_spread(event_loop& loop, configuration_store& configuration,
                                           peer_mesh& mesh)
    : configuration(configuration), mesh(mesh), compare_timer(loop, [this] { this->tick(); })
{
    this->mesh.on<configuration_request>(
        [this](const std::string& from, const configuration_request& message) {
            this->answer(from, message);
        });
    this->mesh.on<configuration_reply>(
        [this](const std::string&, const configuration_reply& message) { this->take(message); });
    this->mesh.on<restriction_notice>(
        [this](const std::string& from, const restriction_notice& message) {
            this->take_restrictions(from, message);
        });
    this->mesh.on<restriction_ack>([this](const std::string& from, const restriction_ack& message) {
        this->take_ack(from, message);
    });
}

void configuration_spread::start()
{
    this->compare_timer.start_repeating(compare_interval);
}

void configuration_spread::tick()
{
    this->ask_for_newer();
    this->send_restrictions();
}

void configuration_spread::ask_for_newer()
{
    const auto known = this->configuration.stored().revision;
    const peer_state* newest = nullptr;
    for (const auto& [name, peer] : this->mesh.peers()) {
        const auto told = peer.last.configuration_revision;
        if (peer.alive && told > known &&
            (newest == nullptr || told > newest->last.configuration_revision))
            newest = &peer;
    }
    if (newest == nullptr) {
        this->asked_for = 0;
        return;
    }
    const auto now = monotonic_clock::now();
    if (this->asked_for == 0) {
        this->asked_for = newest->last.configuration_revision;
        this->newer_since = now;
    }
    if (now - this->newer_since >= watch_head_start || known == 0)
        this->mesh.send(newest->name, configuration_request{.known_revision = known});
}

void configuration_spread::answer(const std::string& from, const configuration_request& message)
{
    const auto& kept = this->configuration.stored();
    if (kept.revision > message.known_revision)
        this->mesh.send(from, configuration_reply{.document = kept.encode()});
}

void configuration_spread::take(const configuration_reply& message)
{
    this->configuration.offer(message.document, 0);
}

void configuration_spread::send_restrictions()
{
    if (this->configuration.restrictions().all().empty())
        return;
    for (const auto& [name, peer] : this->mesh.peers()) {
        if (auto wanted = this->unacknowledged(peer); !wanted.empty())
            this->mesh.send(name, restriction_notice{.restrictions = std::move(wanted)});
    }
}

bool configuration_spread::acknowledged(std::string_view peer, std::string_view id) const
{
    const auto found = this->acknowledgements.find(peer);
    return found != this->acknowledgements.end() && found->second.ids.contains(id);
}

std::vector<std::string> configuration_spread::unacknowledged(const peer_state& peer) const
{
    const auto found = this->acknowledgements.find(peer.name);
    const bool forgotten =
        found == this->acknowledgements.end() || found->second.incarnation < peer.last.incarnation;
    std::vector<std::string> wanted;
    for (const auto& [id, member] : this->configuration.restrictions().all()) {
        if (forgotten || !found->second.ids.contains(id))
            wanted.push_back(member.encode());
    }
    return wanted;
}

void configuration_spread::take_restrictions(const std::string& from,
                                             const restriction_notice& message)
{
    restriction_ack ack{.ids = {}, .incarnation = this->incarnation};
    bool new_here = false;
    for (const auto& text : message.restrictions) {
        auto told = restriction::decode(text);
        if (!told.ok())
            continue;
        ack.ids.push_back(told->id);
        new_here = this->configuration.restrict(*std::move(told)) || new_here;
    }
    this->mesh.send(from, ack);
    if (new_here)
        this->send_restrictions();
}

void configuration_spread::take_ack(const std::string& from, const restriction_ack& message)
{
    auto& known = this->acknowledgements[from];
    if (message.incarnation < known.incarnation)
        return;
    if (message.incarnation > known.incarnation)
        known = {.incarnation = message.incarnation, .ids = {}};
    known.ids.insert(message.ids.begin(), message.ids.end());
}

} // namespace verbenalever
