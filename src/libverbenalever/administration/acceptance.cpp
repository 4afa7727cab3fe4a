#include "administration/acceptance.h"

#include "configuration/configuration_spread.h"
#include "configuration/configuration_store.h"
#include "membership/peer_mesh.h"
#include "verbenalever/entry_settings.h"

namespace verbenalever {

namespace {

constexpr milliseconds check_interval{20};

} // namespace

acceptance::acceptance(event_loop& loop, const entry_settings& settings,
                       const configuration_store& configuration, const configuration_spread& spread,
                       const peer_mesh& mesh)
    : settings(settings), configuration(configuration), spread(spread), mesh(mesh),
      check_timer(loop, [this] { this->check(); })
{
}

void acceptance::respond_when_spread(const change& accepted, milliseconds wait,
                                     http_responder respond)
{
    this->waiters.push_back({.accepted = accepted,
                             .until = monotonic_clock::now() + wait,
                             .respond = std::move(respond)});
    this->check();
    if (!this->waiters.empty() && !this->check_timer.active())
        this->check_timer.start_repeating(check_interval);
}

void acceptance::check()
{
    const auto now = monotonic_clock::now();
    this->waiters.remove_if([this, now](const waiter& waiting) {
        const auto where = this->reach_of(waiting.accepted);
        const bool everywhere = where.pending.empty() && where.not_reached.empty();
        if (now < waiting.until && !(everywhere && this->kept(waiting.accepted)))
            return false;
        waiting.respond(this->answer(waiting.accepted, where));
        return true;
    });
    if (this->waiters.empty())
        this->check_timer.stop();
}

bool acceptance::kept(const change& accepted) const
{
    return accepted.restriction.empty() ||
           !this->configuration.restrictions().all().contains(accepted.restriction);
}

acceptance::reach acceptance::reach_of(const change& accepted) const
{
    // A restriction settles with the revision that holds it, so having that revision is enough.
    const auto revision = accepted.restriction.empty() ? accepted.revision
                          : this->kept(accepted)       ? this->configuration.stored().revision
                                                       : 0;
    reach where;
    where.in_force.push_back(this->settings.name);
    for (const auto& [name, peer] : this->mesh.peers()) {
        const bool by_revision = revision != 0 && peer.last.configuration_revision >= revision;
        const bool by_message =
            !accepted.restriction.empty() && this->spread.acknowledged(name, accepted.restriction);
        if (by_revision || by_message)
            where.in_force.push_back(name);
        else if (peer.alive)
            where.pending.push_back(name);
        else
            where.not_reached.push_back(name);
    }
    return where;
}

http_response acceptance::answer(const change& accepted, const reach& where) const
{
    const bool is_kept = this->kept(accepted);
    nlohmann::json body = {{"state", is_kept ? "kept" : "in_force_not_yet_kept"},
                           {"revision", accepted.restriction.empty()
                                            ? accepted.revision
                                            : this->configuration.stored().revision},
                           {"in_force", where.in_force},
                           {"pending", where.pending},
                           {"not_reached", where.not_reached}};
    if (!accepted.restriction.empty())
        body["restriction"] = accepted.restriction;
    if (!accepted.warning.empty())
        body["warning"] = accepted.warning;
    return http_response::json(200, body.dump());
}

} // namespace verbenalever
