#pragma once

#include "http/http_server.h"
#include "http/router.h"
#include "key_value_store.h"
#include "loop/timer.h"
#include "platform_faults.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {
class event_log;
class event_loop;
} // namespace verbenalever

namespace standins {

/// Stand-in for the platform: serves the key-value service and the VM list over HTTP and injects
/// faults.
class platform_service {
public:
    platform_service(verbenalever::event_loop& loop, const verbenalever::event_log& log);

    /// Handle one request.
    void dispatch(const verbenalever::http_request& request, verbenalever::http_responder respond);

private:
    using request_type = verbenalever::http_request;
    using responder = verbenalever::http_responder;

    /// A watch request without a response yet.
    struct waiting_watch {
        std::string prefix;
        std::int64_t since = 0;
        verbenalever::monotonic_time until;
        responder respond;
    };

    /// A change of the VM list that is not yet visible.
    struct pending_vm_change {
        verbenalever::monotonic_time visible_at;
        std::string name;
        nlohmann::json vm; ///< null for a removal
    };

    void add_routes();
    void add_key_value_routes();
    void add_vm_routes();
    void add_control_routes();
    void get(const std::string& key, const responder& respond);
    void put(const request_type& request, const std::string& key, const responder& respond);
    void remove(const request_type& request, const std::string& key, const responder& respond);
    void respond_to_write(const absl::StatusOr<std::int64_t>& result, const responder& respond);
    void list(const request_type& request, const responder& respond);
    void watch(const request_type& request, responder respond);
    void change_vm(const std::string& name, nlohmann::json vm);
    void set_faults(const request_type& request, const responder& respond);
    void answer_watches();
    void tick();
    [[nodiscard]] const key_value_store& visible_store() const;

    verbenalever::event_loop& loop;
    const verbenalever::event_log& log;
    verbenalever::router platform_routes; ///< subject to faults
    verbenalever::router control_routes;  ///< for tests, not subject to faults
    key_value_store store;
    key_value_store stale_snapshot;
    platform_faults faults;
    std::map<std::string, std::int64_t> call_counts;
    std::map<std::string, nlohmann::json> vms;
    std::deque<pending_vm_change> pending_vm_changes;
    std::vector<waiting_watch> watches;
    std::vector<responder> unanswered;
    std::multimap<verbenalever::monotonic_time, std::function<void()>> delayed_requests;
    verbenalever::timer tick_timer;
};

} // namespace standins
