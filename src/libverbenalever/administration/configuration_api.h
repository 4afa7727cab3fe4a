#pragma once

#include "administration/admin_request.h"
#include "http/http_server.h"
#include "loop/clock.h"

#include <absl/status/statusor.h>

#include <functional>

namespace verbenalever {

class change_responder;
class admin_routes;
class configuration_store;
class configuration_writer;
struct configuration_document;

/// Routes that show, replace and list the revisions of the whole configuration.
class configuration_api {
public:
    configuration_api(configuration_store& configuration, configuration_writer& writer,
                      change_responder& responder);

    void add_routes(admin_routes& routes);

private:
    void show(http_responder respond) const;
    void apply(const admin_request& request, http_responder respond);
    void show_history(http_responder respond);

    configuration_store& configuration;
    configuration_writer& writer;
    change_responder& responder;
};

/// @return the response to a change that was not accepted; with the outcome "unknown" when it may
///         have been accepted
[[nodiscard]] http_response failed_change_response(const absl::Status& status);

/// @return a callback for a write of the configuration: it responds with the error, or, for an
///         accepted change, when the change is in force at every entry daemon or @p wait has passed
[[nodiscard]] std::function<void(const absl::StatusOr<configuration_document>&)>
make_change_callback(change_responder& responder, milliseconds wait, http_responder respond);

} // namespace verbenalever
