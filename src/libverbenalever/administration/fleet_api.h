#pragma once

#include "http/http_server.h"

#include <functional>

namespace verbenalever {

class admin_routes;
class configuration_store;
class peer_mesh;
class target_registry;
struct entry_settings;

/// Shows the entry daemons and the targets, and drains this entry daemon.
class fleet_api {
public:
    /// @param drain starts a planned stop of this entry daemon
    fleet_api(const entry_settings& settings, const configuration_store& configuration,
              const peer_mesh& mesh, target_registry& registry, std::function<void()> drain);

    void add_routes(admin_routes& routes);

private:
    void show_entries(const http_responder& respond) const;
    void show_targets(const http_responder& respond) const;
    void show_usage(const http_responder& respond) const;

    const entry_settings& settings;
    const configuration_store& configuration;
    const peer_mesh& mesh;
    target_registry& registry;
    std::function<void()> drain;
};

} // namespace verbenalever
