#include "administration/restriction_api.h"

#include "administration/admin_routes.h"
#include "administration/change_responder.h"
#include "administration/limit_json.h"
#include "configuration/configuration_distributor.h"
#include "configuration/configuration_edit.h"
#include "configuration/configuration_store.h"
#include "configuration/restriction_persister.h"
#include "http/problem.h"
#include "loop/unique_id.h"
#include "membership/peer_mesh.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

/// Default time to wait for the peers' acknowledgements and for the store before responding.
constexpr milliseconds default_wait{1000};

absl::StatusOr<restriction> read_restriction(const admin_request& request)
{
    const auto body = request.parse_body({"kind", "subject", "drain", "limit"});
    if (!body.ok())
        return body.status();
    const auto kind = text_member(*body, "kind");
    const auto subject = text_member(*body, "subject");
    const auto drain = text_member(*body, "drain");
    for (const auto& member : {kind, subject, drain}) {
        if (!member.ok())
            return member.status();
    }
    restriction wanted{.kind = *kind, .subject = *subject, .drain = *drain};
    if (wanted.kind == "zone_out" && wanted.drain.empty())
        wanted.drain = zone_drain_let_end;
    if (wanted.kind != "lower_limit")
        return wanted;
    const auto limit = limit_from_json(body->value("limit", nlohmann::json()));
    if (!limit.ok())
        return limit.status();
    wanted.limit = *limit;
    return wanted;
}

} // namespace

restriction_api::restriction_api(const entry_settings& settings, const peer_mesh& mesh,
                                 configuration_store& configuration,
                                 configuration_distributor& distributor,
                                 restriction_persister& persister, change_responder& responder,
                                 const event_log& log)
    : settings(settings), mesh(mesh), configuration(configuration), distributor(distributor),
      persister(persister), responder(responder), log(log)
{
}

void restriction_api::add_routes(admin_routes& routes)
{
    routes.add("POST", "/v1/admin/restrictions",
               [this](const admin_request& request, http_responder respond) {
                   this->create_restriction(request, std::move(respond));
               });
    routes.add("DELETE", "/v1/admin/keys/{id}",
               [this](const admin_request& request, http_responder respond) {
                   this->withdraw_key(request, std::move(respond));
               });
}

void restriction_api::create_restriction(const admin_request& request, http_responder respond)
{
    auto wanted = read_restriction(request);
    if (!wanted.ok())
        return respond(not_run_response(wanted.status(), "bad_restriction"));
    this->apply_and_distribute(request, *std::move(wanted), std::move(respond));
}

void restriction_api::withdraw_key(const admin_request& request, http_responder respond)
{
    this->apply_and_distribute(request,
                               {.kind = "withdraw_key", .subject = request.parameters.at("id")},
                               std::move(respond));
}

void restriction_api::apply_and_distribute(const admin_request& request, restriction wanted,
                                           http_responder respond)
{
    const auto wait = request.wait_time(default_wait);
    if (!wait.ok())
        return respond(not_run_response(wait.status(), "bad_query"));
    if (const auto status = wanted.validate(this->configuration.current()); !status.ok())
        return respond(not_run_response(status, "bad_restriction"));
    wanted.id = make_unique_id("restriction");
    wanted.operator_key_id = request.operator_key_id;
    wanted.made_us = wall_microseconds();
    const auto id = wanted.id;
    const auto warning = this->warning_about(wanted);
    if (wanted.kind == "zone_out")
        this->log.write("configuration", "availability_zone_state",
                        {{"availability_zone", wanted.subject}, {"state", "out"}});
    this->configuration.add_restriction(std::move(wanted));
    this->distributor.send_restrictions();
    this->persister.persist_now();
    this->responder.respond_when_distributed({.revision = 0, .restriction = id, .warning = warning},
                                             *wait, std::move(respond));
}

std::string restriction_api::warning_about(const restriction& wanted) const
{
    // Only a warning: an entry daemon that started during an outage may not know all zones yet.
    const auto in_zone = [&wanted](const auto& peer) {
        return peer.second.availability_zone == wanted.subject;
    };
    if (wanted.kind != "zone_out" || wanted.subject == this->settings.availability_zone ||
        std::ranges::any_of(this->mesh.peers(), in_zone))
        return {};
    return fmt::format("this entry knows no entry in availability zone '{}'", wanted.subject);
}

} // namespace verbenalever
