#include "administration/admin_routes.h"

#include "access/access_control.h"
#include "http/problem.h"

namespace verbenalever {

admin_routes::admin_routes(router& routes, const access_control& access)
    : routes(routes), access(access)
{
}

void admin_routes::add(std::string_view method, std::string_view path, handler action)
{
    this->routes.add(
        method, path,
        [&access = this->access, action = std::move(action)](const http_request& request,
                                                             const path_parameters& parameters,
                                                             http_responder respond) {
            const auto operator_key_id = access.operator_of(request);
            if (!operator_key_id.ok())
                return respond(not_run_response(operator_key_id.status(), "key_refused"));
            action({.http = request, .parameters = parameters, .operator_key_id = *operator_key_id},
                   std::move(respond));
        });
}

} // namespace verbenalever
