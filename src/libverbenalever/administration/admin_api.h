#pragma once

#include "administration/change_responder.h"
#include "administration/configuration_api.h"
#include "administration/fleet_api.h"
#include "administration/item_edits.h"
#include "administration/item_lists.h"
#include "administration/restriction_api.h"
#include "configuration/configuration_distributor.h"
#include "configuration/configuration_writer.h"
#include "configuration/restriction_persister.h"

#include <functional>

namespace verbenalever {

class access_control;
class configuration_store;
class event_log;
class event_loop;
class kv_client;
class peer_mesh;
class router;
class target_registry;
struct entry_settings;

/// The operators' HTTP interface, and the objects that store and distribute the changes.
class admin_api {
public:
    /// @param drain starts a planned stop of this entry daemon
    admin_api(event_loop& loop, const entry_settings& settings, configuration_store& configuration,
              access_control& access, kv_client& store, peer_mesh& mesh, target_registry& registry,
              const event_log& log, std::function<void()> drain);

    /// Add the routes under /v1/admin.
    void add_routes(router& routes);

    /// Start to distribute and store changes.
    void start();

private:
    access_control& access;
    configuration_distributor distributor;
    configuration_writer writer;
    restriction_persister persister;
    change_responder responder;
    configuration_api documents;
    restriction_api restrictions;
    item_edits edits;
    item_lists lists;
    fleet_api fleet;
};

} // namespace verbenalever
