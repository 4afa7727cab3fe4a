#pragma once

#include "http/http_server.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// The values of the {name} segments of a route's pattern, by name.
using path_parameters = std::map<std::string, std::string, std::less<>>;

/// Calls the handler that is registered for the method and path of a request.
class router {
public:
    using handler =
        std::function<void(const http_request&, const path_parameters&, http_responder)>;

    /// Add a route.
    /// @param pattern path; a segment in braces matches any non-empty text, e.g. "/v1/jobs/{id}"
    void add(std::string_view method, std::string_view pattern, handler action);

    /// Call the handler of the matching route. Without one, respond with 404 (unknown path) or 405
    /// (another method; the Allow header lists the methods of the path).
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
