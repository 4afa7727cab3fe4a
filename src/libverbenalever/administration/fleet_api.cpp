#include "administration/fleet_api.h"

#include "administration/admin_routes.h"
#include "configuration/configuration_store.h"
#include "membership/peer_mesh.h"
#include "scheduling/resources_json.h"
#include "targets/target_registry.h"
#include "verbenalever/entry_settings.h"

#include <nlohmann/json.hpp>

namespace verbenalever {

fleet_api::fleet_api(const entry_settings& settings, const configuration_store& configuration,
                     const peer_mesh& mesh, target_registry& registry, std::function<void()> drain)
    : settings(settings), configuration(configuration), mesh(mesh), registry(registry),
      drain(std::move(drain))
{
}

void fleet_api::add_routes(admin_routes& routes)
{
    routes.add("GET", "/v1/admin/entries",
               [this](const admin_request&, const http_responder& respond) {
                   this->show_entries(respond);
               });
    routes.add("GET", "/v1/admin/targets",
               [this](const admin_request&, const http_responder& respond) {
                   this->show_targets(respond);
               });
    routes.add("GET", "/v1/admin/use", [this](const admin_request&, const http_responder& respond) {
        this->show_usage(respond);
    });
    routes.add("POST", "/v1/admin/drain",
               [this](const admin_request&, const http_responder& respond) {
                   respond(http_response::json(202, R"({"state":"draining"})"));
                   this->drain();
               });
}

void fleet_api::show_entries(const http_responder& respond) const
{
    nlohmann::json entries = nlohmann::json::array();
    entries.push_back({{"name", this->settings.name},
                       {"availability_zone", this->settings.availability_zone},
                       {"http", this->settings.http.text()},
                       {"alive", true},
                       {"draining", false},
                       {"revision", this->configuration.current().revision}});
    for (const auto& [name, peer] : this->mesh.peers())
        entries.push_back({{"name", name},
                           {"availability_zone", peer.availability_zone},
                           {"http", peer.last_heartbeat.http},
                           {"alive", peer.alive},
                           {"draining", peer.last_heartbeat.draining},
                           {"revision", peer.last_heartbeat.configuration_revision}});
    respond(http_response::json(200, nlohmann::json{{"entries", entries}}.dump()));
}

void fleet_api::show_targets(const http_responder& respond) const
{
    nlohmann::json targets = nlohmann::json::array();
    const auto now = monotonic_clock::now();
    for (const auto& [name, target] : this->registry.all())
        targets.push_back({{"name", name},
                           {"availability_zone", target.vm.availability_zone},
                           {"rack", target.vm.rack},
                           {"held", target.lease_held(now)},
                           {"epoch", target.lease_epoch},
                           {"may_start", this->registry.may_start(target, now)},
                           {"capacity", target.vm.capacity},
                           {"reserved", target.reserved}});
    respond(http_response::json(200, nlohmann::json{{"targets", targets}}.dump()));
}

void fleet_api::show_usage(const http_responder& respond) const
{
    std::map<std::string, resources> usage;
    const auto now = monotonic_clock::now();
    for (const auto& [name, target] : this->registry.all()) {
        if (!target.lease_held(now))
            continue; // the entry daemon that holds the lease reports this target
        for (const auto& [team, reserved] : target.reserved_by_team)
            usage[team] += reserved;
    }
    respond(http_response::json(200, nlohmann::json{{"teams", usage}}.dump()));
}

} // namespace verbenalever
