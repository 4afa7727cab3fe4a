#include "administration/admin_api.h"

#include "administration/admin_routes.h"

namespace verbenalever {

admin_api::admin_api(event_loop& loop, const entry_settings& settings,
                     configuration_store& configuration, access_control& access, kv_client& store,
                     peer_mesh& mesh, target_registry& registry, const event_log& log,
                     std::function<void()> drain)
    : access(access), distributor(loop, configuration, mesh),
      writer(loop, store, configuration, log), persister(loop, configuration, this->writer),
      responder(loop, settings, configuration, this->distributor, mesh),
      documents(configuration, this->writer, this->responder),
      restrictions(settings, mesh, configuration, this->distributor, this->persister,
                   this->responder, log),
      edits(configuration, this->writer, this->responder), lists(configuration),
      fleet(settings, configuration, mesh, registry, std::move(drain))
{
}

void admin_api::add_routes(router& routes)
{
    admin_routes guarded(routes, this->access);
    this->documents.add_routes(guarded);
    this->restrictions.add_routes(guarded);
    this->edits.add_routes(guarded);
    this->lists.add_routes(guarded);
    this->fleet.add_routes(guarded);
}

void admin_api::start()
{
    this->distributor.start();
    this->persister.start();
}

} // namespace verbenalever
