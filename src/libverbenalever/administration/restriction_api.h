#pragma once

#include "administration/admin_request.h"
#include "configuration/restriction.h"
#include "http/http_server.h"

namespace verbenalever {

class change_responder;
class admin_routes;
class configuration_distributor;
class configuration_store;
class event_log;
class peer_mesh;
class restriction_persister;
struct entry_settings;

/// Routes by which operators make restrictions (changes that only narrow what is allowed). A
/// restriction is in force at once, even when the store is not reachable.
class restriction_api {
public:
    restriction_api(const entry_settings& settings, const peer_mesh& mesh,
                    configuration_store& configuration, configuration_distributor& distributor,
                    restriction_persister& persister, change_responder& responder,
                    const event_log& log);

    void add_routes(admin_routes& routes);

private:
    void create_restriction(const admin_request& request, http_responder respond);
    void withdraw_key(const admin_request& request, http_responder respond);
    void apply_and_distribute(const admin_request& request, restriction wanted,
                              http_responder respond);
    [[nodiscard]] std::string warning_about(const restriction& wanted) const;

    const entry_settings& settings;
    const peer_mesh& mesh;
    configuration_store& configuration;
    configuration_distributor& distributor;
    restriction_persister& persister;
    change_responder& responder;
    const event_log& log;
};

} // namespace verbenalever
