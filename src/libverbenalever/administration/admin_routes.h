#pragma once

#include "administration/admin_request.h"
#include "http/http_server.h"

#include <functional>
#include <string_view>

namespace verbenalever {

class access_control;
class router;

/// Adds routes that require an operator's key.
class admin_routes {
public:
    using handler = std::function<void(const admin_request&, http_responder)>;

    admin_routes(router& routes, const access_control& access);

    /// Add a route; requests without a valid operator's key are refused and do not reach @p action.
    void add(std::string_view method, std::string_view path, handler action);

private:
    router& routes;
    const access_control& access;
};

} // namespace verbenalever
