#include "jobs/job_service.h"

#include "configuration/configuration_store.h"

#include "http/router.h"
#include "loop/unique_id.h"
#include "verbenalever/entry_settings.h"

#include <fmt/format.h>

namespace verbenalever {

namespace {

constexpr std::size_t incarnation_bytes = 6;

} // namespace

job_service::job_service(event_loop& loop, const entry_settings& settings,
                         configuration_store& configuration, access_control& access,
                         peer_mesh& mesh, kv_client& store, target_registry& registry,
                         target_client& client, counters& metrics, const event_log& log)
    : mailbox(loop, mesh, settings.name),
      records(loop, store, metrics), services{.loop = loop,
                                              .settings = settings,
                                              .mesh = mesh,
                                              .mailbox = this->mailbox,
                                              .store = store,
                                              .records = this->records,
                                              .fleet = this->fleet,
                                              .registry = registry,
                                              .metrics = metrics,
                                              .log = log,
                                              .writer = fmt::format("{}/{}", settings.name,
                                                                    random_hex(incarnation_bytes))},
      holder(loop, settings, this->mailbox, store, registry, client, this->placements, metrics,
             log),
      drivers(this->services), adoption(this->services, this->drivers),
      acceptance(this->services, configuration, access, this->drivers), api(this->services, access)
{
    configuration.on_change(
        [this](const operator_configuration& changed) { this->placements.configure(changed); });
}

void job_service::add_routes(router& routes)
{
    routes.add("POST", "/v1/jobs",
               [this](const http_request& request, const path_parameters&, http_responder respond) {
                   this->acceptance.submit(request, std::move(respond));
               });
    this->api.add_routes(routes);
}

void job_service::start()
{
    this->holder.start();
    this->adoption.start();
}

void job_service::update(std::span<const vm_record> vms)
{
    this->fleet.update(vms);
}

void job_service::drain()
{
    this->acceptance.stop();
    this->api.drain();
    this->adoption.stop();
    this->drivers.hand_over([this] { this->handed_over = true; });
}

bool job_service::drained() const
{
    return this->handed_over;
}

} // namespace verbenalever
