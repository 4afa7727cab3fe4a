#pragma once

#include "http/http_server.h"
#include "jobs/job_driver.h"

#include <map>
#include <memory>
#include <string>

namespace verbenalever {

class access_control;
class configuration_store;
class counters;
class router;
struct entry_settings;

/// Accepts jobs once the platform's service has them, drives them, and tells their state.
class job_service {
public:
    job_service(event_loop& loop, const entry_settings& settings,
                configuration_store& configuration, access_control& access, kv_client& store,
                target_registry& registry, target_client& client, counters& metrics,
                const event_log& log);
    ~job_service();
    job_service(const job_service&) = delete;
    job_service& operator=(const job_service&) = delete;

    /// Add POST /v1/jobs and GET /v1/jobs/{id}.
    void add_routes(router& routes);

private:
    void submit(const http_request& request, http_responder respond);
    void accept(job_record record, std::int64_t revision);
    void show(const http_request& request, const std::string& id, http_responder respond);

    event_loop& loop;
    const entry_settings& settings;
    configuration_store& configuration;
    access_control& access;
    kv_client& store;
    target_registry& registry;
    target_client& client;
    counters& metrics;
    const event_log& log;
    std::unique_ptr<placement_policy> placement;
    std::map<std::string, std::unique_ptr<job_driver>> drivers;
};

} // namespace verbenalever
