#pragma once

#include "http/http_server.h"

#include <nlohmann/json.hpp>

namespace verbenalever {

class admin_routes;
class configuration_store;

/// Routes that list the items of the configuration in force and the restrictions not stored yet.
class item_lists {
public:
    explicit item_lists(const configuration_store& configuration);

    void add_routes(admin_routes& routes);

private:
    [[nodiscard]] nlohmann::json teams() const;
    [[nodiscard]] nlohmann::json queues() const;
    [[nodiscard]] nlohmann::json availability_zones() const;
    [[nodiscard]] nlohmann::json keys() const;
    [[nodiscard]] nlohmann::json restrictions() const;

    const configuration_store& configuration;
};

} // namespace verbenalever
