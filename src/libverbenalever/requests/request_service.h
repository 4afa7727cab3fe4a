#pragma once

#include "http/http_result.h"
#include "http/http_server.h"
#include "loop/timer.h"
#include "requests/held_request.h"
#include "scheduling/placement_table.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace verbenalever {

class access_control;
class configuration_store;
class counters;
class event_log;
class queue_policy;
class router;
class share_ledger;
class target_client;
class target_registry;
struct queue_configuration;

/// Takes callers' requests, sends each to a target, and gives each its one final answer:
/// the target's whole answer, "not run" (which is true), or "outcome unknown".
class request_service {
public:
    request_service(event_loop& loop, configuration_store& configuration, access_control& access,
                    target_registry& registry, target_client& client, share_ledger& shares,
                    counters& metrics, const event_log& log);
    ~request_service();
    request_service(const request_service&) = delete;
    request_service& operator=(const request_service&) = delete;

    /// Add POST /v1/requests/{queue}.
    void add_routes(router& routes);

    /// Refuse new requests from now on.
    void drain();

    /// @return requests not yet answered
    [[nodiscard]] std::size_t held() const;

private:
    void take(const http_request& request, const std::string& queue_name, http_responder respond);
    void enqueue(held_request request);
    void dispatch();
    void send(held_request& request, const std::string& target);
    void answered(std::uint64_t number, http_result result);
    void expire();
    void refuse(held_request& request, int status, std::string_view code, std::string_view message);
    void forget(std::uint64_t number);

    configuration_store& configuration;
    access_control& access;
    target_registry& registry;
    target_client& client;
    counters& metrics;
    const event_log& log;
    std::unique_ptr<queue_policy> waiting;
    placement_table placements;
    std::unordered_map<std::uint64_t, held_request> requests;
    std::uint64_t last_number = 0;
    bool draining = false;
    bool dispatching = false;
    timer expiry_timer;
};

} // namespace verbenalever
