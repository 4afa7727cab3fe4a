#include "jobs/job_service.h"

#include "configuration/configuration_store.h"

#include "http/router.h"
#include "loop/unique_id.h"
#include "verbenalever/entry_settings.h"

#include <fmt/format.h>

namespace verbenalever {

namespace {

constexpr std::size_t process_id_bytes = 6;

} // namespace

job_service::job_service(event_loop& loop, const entry_settings& settings,
                         configuration_store& configuration, access_control& access,
                         peer_mesh& mesh, kv_client& store, target_registry& registry,
                         target_client& client, counters& metrics, const event_log& log)
    : messenger(loop, mesh, settings.name),
      records(loop, store, metrics), context{.loop = loop,
                                             .settings = settings,
                                             .mesh = mesh,
                                             .messenger = this->messenger,
                                             .store = store,
                                             .records = this->records,
                                             .fleet = this->fleet,
                                             .registry = registry,
                                             .metrics = metrics,
                                             .log = log,
                                             .writer = fmt::format("{}/{}", settings.name,
                                                                   random_hex(process_id_bytes))},
      task_manager(loop, settings, this->messenger, store, registry, client, this->placements,
                   metrics, log),
      drivers(this->context), adoption(this->context, this->drivers),
      acceptance(this->context, configuration, access, this->drivers), api(this->context, access)
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
    this->task_manager.start();
    this->adoption.start();
}

void job_service::apply_vm_list(std::span<const vm_record> vms)
{
    this->fleet.apply_vm_list(vms);
}

void job_service::drain()
{
    this->acceptance.stop();
    this->api.drain();
    this->adoption.stop();
    this->drivers.release_all([this] { this->all_released = true; });
}

bool job_service::drained() const
{
    return this->all_released;
}

} // namespace verbenalever
