#pragma once

#include "http/http_server.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// The values of the {names} in a route's pattern.
using path_parameters = std::map<std::string, std::string, std::less<>>;

/// Chooses the handler of a request by its method and path.
class router {
public:
    using handler =
        std::function<void(const http_request&, const path_parameters&, http_responder)>;

    /// Add a route.
    /// @param pattern a path whose segments in braces match any text, e.g. "/v1/jobs/{id}"
    void add(std::string_view method, std::string_view pattern, handler action);

    /// Handle @p request, or respond 404 (no such path) or 405 (with Allow).
    void dispatch(const http_request& request, http_responder respond) const;

private:
    struct route {
        std::string method;
        std::vector<std::string> segments;
        handler action;
    };

    std::vector<route> routes;
};

} // namespace verbenalever
