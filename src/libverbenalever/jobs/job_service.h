#pragma once

#include "jobs/fleet_view.h"
#include "jobs/job_acceptance.h"
#include "jobs/job_adoption.h"
#include "jobs/job_api.h"
#include "jobs/job_context.h"
#include "jobs/job_drivers.h"
#include "jobs/job_messenger.h"
#include "jobs/record_writer.h"
#include "jobs/target_task_manager.h"
#include "scheduling/placement_policy_table.h"

#include <functional>
#include <span>

namespace verbenalever {

class access_control;
class configuration_store;
class router;
class target_client;
struct vm_record;

/// The jobs of one entry: accepting, driving, holding targets' tasks, and telling callers.
class job_service {
public:
    job_service(event_loop& loop, const entry_settings& settings,
                configuration_store& configuration, access_control& access, peer_mesh& mesh,
                kv_client& store, target_registry& registry, target_client& client,
                counters& metrics, const event_log& log);

    /// Add the routes under /v1/jobs.
    void add_routes(router& routes);

    /// Begin to hold tasks and to look for jobs without a driver.
    void start();

    /// Take in the platform's list of VMs.
    void apply_vm_list(std::span<const vm_record> vms);

    /// Accept nothing more and give all jobs up for other entries.
    void drain();

    /// @return whether all jobs have been given up
    [[nodiscard]] bool drained() const;

private:
    fleet_view fleet;
    job_messenger messenger;
    record_writer records;
    job_context context;
    placement_policy_table placements;
    target_task_manager task_manager;
    job_drivers drivers;
    job_adoption adoption;
    job_acceptance acceptance;
    job_api api;
    bool all_released = false;
};

} // namespace verbenalever
