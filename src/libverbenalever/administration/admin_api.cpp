#include "administration/admin_api.h"

#include "access/access_control.h"
#include "configuration/configuration_store.h"
#include "http/problem.h"
#include "http/router.h"
#include "membership/peer_mesh.h"
#include "scheduling/resources_json.h"
#include "targets/target_registry.h"
#include "verbenalever/entry_settings.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <functional>

namespace verbenalever {

namespace {

absl::StatusOr<std::int64_t> base_revision(const http_request& request)
{
    const auto text = request.header("If-Match");
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0)
        return absl::InvalidArgumentError(
            "If-Match must hold the revision that the change was made from");
    return value;
}

} // namespace

admin_api::admin_api(const entry_settings& settings, configuration_store& configuration,
                     access_control& access, peer_mesh& mesh, target_registry& registry)
    : settings(settings), configuration(configuration), access(access), mesh(mesh),
      registry(registry)
{
}

void admin_api::add_routes(router& routes)
{
    using action = std::function<void(const http_request&, http_responder)>;
    const auto add = [this, &routes](std::string_view method, std::string_view path,
                                     action perform) {
        routes.add(method, path,
                   [this, perform = std::move(perform)](const http_request& request,
                                                        const path_parameters&,
                                                        http_responder respond) {
                       if (auto status = this->access.require_operator(request); !status.ok())
                           return respond(not_run_response(status, "key_refused"));
                       perform(request, std::move(respond));
                   });
    };
    add("GET", "/v1/admin/configuration", [this](const http_request&, http_responder respond) {
        this->show_configuration(std::move(respond));
    });
    add("PUT", "/v1/admin/configuration",
        [this](const http_request& request, http_responder respond) {
            this->apply_configuration(request, std::move(respond));
        });
    add("GET", "/v1/admin/entries", [this](const http_request&, http_responder respond) {
        this->show_entries(std::move(respond));
    });
    add("GET", "/v1/admin/targets", [this](const http_request&, http_responder respond) {
        this->show_targets(std::move(respond));
    });
}

void admin_api::show_configuration(http_responder respond) const
{
    respond(http_response::json(200,
                                nlohmann::json{{"revision", this->configuration.current().revision},
                                               {"text", this->configuration.current_text()}}
                                    .dump()));
}

void admin_api::apply_configuration(const http_request& request, http_responder respond)
{
    const auto base = base_revision(request);
    if (!base.ok())
        return respond(not_run_response(base.status(), "bad_header"));
    this->configuration.apply(
        request.body, *base, [respond = std::move(respond)](absl::StatusOr<std::int64_t> revision) {
            if (!revision.ok())
                return respond(not_run_response(revision.status(), "configuration_refused"));
            respond(http_response::json(200, nlohmann::json{{"revision", *revision}}.dump()));
        });
}

void admin_api::show_entries(http_responder respond) const
{
    nlohmann::json entries = nlohmann::json::array();
    entries.push_back({{"name", this->settings.name},
                       {"availability_zone", this->settings.availability_zone},
                       {"http", this->settings.http.text()},
                       {"alive", true},
                       {"revision", this->configuration.current().revision}});
    for (const auto& [name, peer] : this->mesh.peers())
        entries.push_back({{"name", name},
                           {"availability_zone", peer.availability_zone},
                           {"http", peer.last.http},
                           {"alive", peer.alive},
                           {"revision", peer.last.configuration_revision}});
    respond(http_response::json(200, nlohmann::json{{"entries", entries}}.dump()));
}

void admin_api::show_targets(http_responder respond) const
{
    nlohmann::json targets = nlohmann::json::array();
    const auto now = monotonic_clock::now();
    for (const auto& [name, target] : this->registry.all())
        targets.push_back({{"name", name},
                           {"availability_zone", target.vm.availability_zone},
                           {"rack", target.vm.rack},
                           {"held", target.held(now)},
                           {"epoch", target.lease_epoch},
                           {"may_start", this->registry.may_start(target, now)},
                           {"capacity", target.vm.capacity},
                           {"reserved", target.reserved}});
    respond(http_response::json(200, nlohmann::json{{"targets", targets}}.dump()));
}

} // namespace verbenalever
