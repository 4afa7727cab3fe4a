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

/// The batch jobs of one entry daemon: accepts and drives jobs, manages the tasks on the targets
/// whose leases this entry daemon holds, and answers requests about jobs.
class job_service {
public:
    job_service(event_loop& loop, const entry_settings& settings,
                configuration_store& configuration, access_control& access, peer_mesh& mesh,
                kv_client& store, target_registry& registry, target_client& client,
                counters& metrics, const event_log& log);

    /// Add the routes under /v1/jobs.
    void add_routes(router& routes);

    /// Start to manage tasks and to scan for jobs without a driver.
    void start();

    /// Update the fleet from the platform's list of VMs.
    void apply_vm_list(std::span<const vm_record> vms);

    /// Refuse further jobs and release all jobs, so that other entry daemons can adopt them.
    void drain();

    /// @return whether all jobs have been released
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
