#pragma once

#include "administration/admin_request.h"
#include "http/http_server.h"

namespace verbenalever {

class acceptance;
class admin_routes;
class configuration_store;
class configuration_writer;
struct configuration_document;

/// Operators' access to the configuration as a whole.
class configuration_api {
public:
    configuration_api(configuration_store& configuration, configuration_writer& writer,
                      acceptance& answers);

    void add_routes(admin_routes& routes);

private:
    void show(http_responder respond) const;
    void apply(const admin_request& request, http_responder respond);
    void show_history(http_responder respond);

    configuration_store& configuration;
    configuration_writer& writer;
    acceptance& answers;
};

/// @return the response to a change that was not accepted; outcome "unknown" when that is not sure
[[nodiscard]] http_response refused_change(const absl::Status& status);

} // namespace verbenalever
