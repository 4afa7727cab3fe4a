#pragma once

#include "http/http_server.h"

#include <string>

namespace verbenalever {

class access_control;
class configuration_store;
class peer_mesh;
class router;
class target_registry;
struct entry_settings;

/// The operators' HTTP interface.
class admin_api {
public:
    admin_api(const entry_settings& settings, configuration_store& configuration,
              access_control& access, peer_mesh& mesh, target_registry& registry);

    /// Add the routes under /v1/admin.
    void add_routes(router& routes);

private:
    void show_configuration(http_responder respond) const;
    void apply_configuration(const http_request& request, http_responder respond);
    void show_entries(http_responder respond) const;
    void show_targets(http_responder respond) const;

    const entry_settings& settings;
    configuration_store& configuration;
    access_control& access;
    peer_mesh& mesh;
    target_registry& registry;
};

} // namespace verbenalever
