#pragma once

#include "administration/admin_request.h"
#include "http/http_server.h"

#include <functional>
#include <string_view>

namespace verbenalever {

class access_control;
class router;

/// Adds routes that only operators may use.
class admin_routes {
public:
    using handler = std::function<void(const admin_request&, http_responder)>;

    admin_routes(router& routes, const access_control& access);

    /// Add a route; requests without an operator's key are refused before @p action sees them.
    void add(std::string_view method, std::string_view path, handler action);

private:
    router& routes;
    const access_control& access;
};

} // namespace verbenalever
