#pragma once

#include "fault_rule.h"
#include "http/http_server.h"
#include "http/router.h"
#include "loop/endpoint.h"
#include "loop/timer.h"
#include "relay.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {
class event_log;
class event_loop;
} // namespace verbenalever

namespace standins {

/// TCP proxy that forwards connections and injects the faults of the rules set over HTTP.
class proxy_service {
public:
    proxy_service(verbenalever::event_loop& loop, const verbenalever::event_log& log);
    ~proxy_service();
    proxy_service(const proxy_service&) = delete;
    proxy_service& operator=(const proxy_service&) = delete;

    /// Handle one request to the control interface.
    void dispatch(const verbenalever::http_request& request, verbenalever::http_responder respond);

private:
    /// One listening address and the address that its connections are forwarded to.
    struct link {
        std::string name;
        verbenalever::endpoint upstream;
        int descriptor = -1;
        std::unique_ptr<verbenalever::io_watcher> watcher;
    };

    void add_link(const verbenalever::http_request& request, const std::string& name,
                  const verbenalever::http_responder& respond);
    void set_rules(const verbenalever::http_request& request,
                   const verbenalever::http_responder& respond);
    void accept(link& listener);
    void apply_rules(relay& connection, bool is_new);
    void close_relay(relay* connection);
    [[nodiscard]] bool is_cut(std::string_view client, std::string_view link_name) const;

    verbenalever::event_loop& loop;
    const verbenalever::event_log& log;
    verbenalever::router routes;
    std::map<std::string, std::unique_ptr<link>> links;
    std::vector<fault_rule> rules;
    std::map<relay*, std::unique_ptr<relay>> relays;
    /// Destroyed by cleanup_timer, because a relay may be closed from its own callback.
    std::vector<std::unique_ptr<relay>> closed_relays;
    verbenalever::timer cleanup_timer;
};

} // namespace standins
