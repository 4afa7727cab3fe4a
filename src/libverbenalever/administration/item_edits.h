#pragma once

#include "administration/admin_request.h"
#include "http/http_server.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <string>
#include <vector>

namespace verbenalever {

class change_responder;
class admin_routes;
class configuration_store;
class configuration_writer;
class event_log;

/// Routes that change single items of the stored configuration: add, change and remove teams,
/// change queues, bring availability zones back into service, grant keys. Each change is one
/// compare-and-swap on the revision in If-Match or, without that header, on the stored revision
/// that this entry daemon has.
class item_edits {
public:
    item_edits(configuration_store& configuration, configuration_writer& writer,
               change_responder& responder);

    void add_routes(admin_routes& routes);

private:
    using edit = std::function<void(YAML::Node&)>;

    void add_team(const admin_request& request, http_responder respond);
    void change_team(const admin_request& request, http_responder respond);
    void remove_team(const admin_request& request, http_responder respond);
    void change_queue(const admin_request& request, http_responder respond);
    void bring_zone_in(const admin_request& request, http_responder respond);
    void grant_key(const admin_request& request, http_responder respond);
    void write(const admin_request& request, std::vector<std::string> resolves, const edit& change,
               http_responder respond);

    configuration_store& configuration;
    configuration_writer& writer;
    change_responder& responder;
};

} // namespace verbenalever
