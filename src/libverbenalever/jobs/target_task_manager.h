#pragma once

#include "jobs/observed_target.h"
#include "jobs/reserve_answer.h"
#include "jobs/reserve_request.h"
#include "jobs/start_request.h"
#include "jobs/task_report.h"
#include "loop/timer.h"

#include <absl/status/status.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace verbenalever {

class counters;
class event_log;
class job_messenger;
class kv_client;
class placement_policy_table;
class target_client;
class target_registry;
struct entry_settings;
struct release_request;
struct target_inventory;
struct target_record;
struct task_order;
struct task_query;

/// Manages the jobs' tasks on the targets whose leases this entry daemon holds: reserves capacity,
/// starts tasks, renews their leases and reports their state to the jobs' drivers.
///
/// The inventory of each target is polled once for all jobs. A start needs an unexpired
/// reservation, so that a late start request, e.g. of a driver that was paused and has been
/// replaced, has no effect.
class target_task_manager {
public:
    target_task_manager(event_loop& loop, const entry_settings& settings, job_messenger& messenger,
                        kv_client& store, target_registry& registry, target_client& client,
                        placement_policy_table& placements, counters& metrics,
                        const event_log& log);
    ~target_task_manager();
    target_task_manager(const target_task_manager&) = delete;
    target_task_manager& operator=(const target_task_manager&) = delete;

    /// Start to poll the targets periodically.
    void start();

private:
    /// Capacity reserved for one start of a task.
    struct reservation {
        std::string job;
        std::string target;
        std::int64_t epoch = 0; ///< of the target's lease when it was reserved
        std::string team;
        resources demand;
        monotonic_time expires;
        bool start_sent = false; ///< the start was sent; its outcome is unknown
    };

    void add_handlers();
    /// Reserve capacity for as many of the requested tasks as possible, and answer the driver.
    void reserve(const std::string& from, const reserve_request& request);
    void start_tasks(const std::string& from, const start_request& request);
    void start_task(const std::string& from, const start_request& request, const task_place& place);
    /// Apply a target's response to a start: it runs, was refused, or the outcome is unknown.
    void apply_start_response(const std::string& job, const task_place& place,
                              const absl::Status& answer);
    void release_unused(const release_request& request);
    void answer_query(const std::string& from, const task_query& query);
    /// Send a driver's order to stop or forget tasks to the targets.
    void execute_order(const std::string& from, const task_order& order);
    [[nodiscard]] task_status status_of(const task_place& place);

    void tick();

    /// @return the targets to which a start of unknown outcome was sent
    [[nodiscard]] std::set<std::string_view> targets_with_unanswered_starts() const;
    /// Report the running tasks of a target after its lease was lost.
    void report_lost_lease(const std::string& target, observed_target& state);
    /// Clear what was known of a target under an earlier lease, except the time of the last calls.
    static void reset_for_lease(const target_record& target, observed_target& state);
    /// Replace what is known of a target by the first inventory under a new lease.
    void apply_first_inventory(const target_record& target, const target_inventory& inventory);
    void expire_reservations(monotonic_time now);
    void release_reservation(const task_key& key, const reservation& reserved);
    void poll_inventory(target_record& target, observed_target& state);
    void apply_inventory(const std::string& target, std::int64_t epoch, monotonic_time poll_started,
                         const target_inventory& inventory);
    /// Update one task from the inventory and add its end to @p reports.
    void apply_task(observed_target& state, const std::string& target, const target_task& task,
                    std::map<std::string, task_report>& reports);
    /// Remove the tasks that are no longer in the inventory and add them to @p reports.
    void report_missing_tasks(observed_target& state, const std::string& target,
                              monotonic_time poll_started, const std::set<std::string>& present,
                              std::map<std::string, task_report>& reports);
    void renew_task_leases(const std::string& target, observed_target& state);
    void release_capacity(const std::string& target, const target_task& task);
    void remove_idle_drivers(monotonic_time now);
    void send_reports(std::map<std::string, task_report> reports);
    void report_refused(const std::string& to, const std::string& job, const task_place& place);
    /// Have the target forget an ended task if its job's record is finished.
    void forget_task_if_job_finished(const std::string& target, const std::string& task);

    const entry_settings& settings;
    job_messenger& messenger;
    kv_client& store;
    target_registry& registry;
    target_client& client;
    placement_policy_table& placements;
    counters& metrics;
    const event_log& log;
    std::map<task_key, reservation> reservations;
    std::map<std::string, observed_target, std::less<>> targets;
    /// The entry daemon that last sent a message about each job.
    std::map<std::string, std::string> driver_by_job;
    monotonic_time next_driver_cleanup;
    monotonic_time created_at = monotonic_clock::now();
    std::shared_ptr<int> alive = std::make_shared<int>(0);
    timer tick_timer;
};

} // namespace verbenalever
