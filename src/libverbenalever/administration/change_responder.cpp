#include "administration/change_responder.h"

#include "configuration/configuration_distributor.h"
#include "configuration/configuration_store.h"
#include "membership/peer_mesh.h"
#include "verbenalever/entry_settings.h"

namespace verbenalever {

namespace {

constexpr milliseconds check_interval{20};

} // namespace

change_responder::change_responder(event_loop& loop, const entry_settings& settings,
                                   const configuration_store& configuration,
                                   const configuration_distributor& distributor,
                                   const peer_mesh& mesh)
    : settings(settings), configuration(configuration), distributor(distributor), mesh(mesh),
      check_timer(loop, [this] { this->check(); })
{
}

void change_responder::respond_when_distributed(const change& accepted, milliseconds wait,
                                                http_responder respond)
{
    this->pending_responses.push_back({.accepted = accepted,
                                       .deadline = monotonic_clock::now() + wait,
                                       .respond = std::move(respond)});
    this->check();
    if (!this->pending_responses.empty() && !this->check_timer.active())
        this->check_timer.start_repeating(check_interval);
}

void change_responder::check()
{
    const auto now = monotonic_clock::now();
    this->pending_responses.remove_if([this, now](const pending_response& waiting) {
        const auto distribution = this->find_distribution(waiting.accepted);
        const bool everywhere = distribution.pending.empty() && distribution.not_reached.empty();
        if (now < waiting.deadline && !(everywhere && this->is_stored(waiting.accepted)))
            return false;
        waiting.respond(this->make_response(waiting.accepted, distribution));
        return true;
    });
    if (this->pending_responses.empty())
        this->check_timer.stop();
}

bool change_responder::is_stored(const change& accepted) const
{
    return accepted.restriction.empty() ||
           !this->configuration.restrictions().all().contains(accepted.restriction);
}

change_responder::change_distribution
change_responder::find_distribution(const change& accepted) const
{
    // A stored restriction is resolved by the present stored revision, so an entry daemon that has
    // that revision needs no acknowledgement of its own.
    const auto revision = accepted.restriction.empty() ? accepted.revision
                          : this->is_stored(accepted)  ? this->configuration.stored().revision
                                                       : 0;
    change_distribution distribution;
    distribution.in_force.push_back(this->settings.name);
    for (const auto& [name, peer] : this->mesh.peers()) {
        const bool by_revision =
            revision != 0 && peer.last_heartbeat.configuration_revision >= revision;
        const bool by_message = !accepted.restriction.empty() &&
                                this->distributor.acknowledged(name, accepted.restriction);
        if (by_revision || by_message)
            distribution.in_force.push_back(name);
        else if (peer.alive)
            distribution.pending.push_back(name);
        else
            distribution.not_reached.push_back(name);
    }
    return distribution;
}

http_response change_responder::make_response(const change& accepted,
                                              const change_distribution& distribution) const
{
    const bool in_store = this->is_stored(accepted);
    nlohmann::json body = {{"state", in_store ? "kept" : "in_force_not_yet_kept"},
                           {"revision", accepted.restriction.empty()
                                            ? accepted.revision
                                            : this->configuration.stored().revision},
                           {"in_force", distribution.in_force},
                           {"pending", distribution.pending},
                           {"not_reached", distribution.not_reached}};
    if (!accepted.restriction.empty())
        body["restriction"] = accepted.restriction;
    if (!accepted.warning.empty())
        body["warning"] = accepted.warning;
    return http_response::json(200, body.dump());
}

} // namespace verbenalever
