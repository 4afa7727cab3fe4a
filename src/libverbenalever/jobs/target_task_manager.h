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

/// The holder's side of tasks: reserves room on the targets whose leases this entry holds, starts
/// tasks there, renews their leases and tells drivers what became of them.
///
/// One pass reads the inventory of each held target; it serves all jobs. A start needs a live
/// reservation, so that a start request that comes late, e.g. from a driver that was paused and
/// has been replaced, does nothing.
class target_task_manager {
public:
    target_task_manager(event_loop& loop, const entry_settings& settings, job_messenger& messenger,
                        kv_client& store, target_registry& registry, target_client& client,
                        placement_policy_table& placements, counters& metrics,
                        const event_log& log);
    ~target_task_manager();
    target_task_manager(const target_task_manager&) = delete;
    target_task_manager& operator=(const target_task_manager&) = delete;

    /// Begin the passes over held targets.
    void start();

private:
    /// Room promised to a task.
    struct reservation {
        std::string job;
        std::string target;
        std::int64_t epoch = 0; ///< of the target's lease at the time
        std::string team;
        resources demand;
        monotonic_time expires;
        bool start_sent = false; ///< the start was sent and its outcome is not known
    };

    void add_handlers();
    void reserve(const std::string& from, const reserve_request& request);
    void start_tasks(const std::string& from, const start_request& request);
    void start_task(const std::string& from, const start_request& request, const task_place& place);
    void apply_start_response(const std::string& job, const task_place& place,
                              const absl::Status& answer);
    void release_unused(const release_request& request);
    void answer_query(const std::string& from, const task_query& query);
    void execute_order(const std::string& from, const task_order& order);
    [[nodiscard]] task_status status_of(const task_place& place);

    void tick();

    /// @return the targets to which a start was sent whose outcome is not known
    [[nodiscard]] std::set<std::string_view> targets_with_unanswered_starts() const;
    void report_lost_lease(const std::string& target, observed_target& state);
    static void reset_for_lease(const target_record& target, observed_target& state);
    void apply_first_inventory(const target_record& target, const target_inventory& inventory);
    void expire_reservations(monotonic_time now);
    void release_reservation(const task_key& key, const reservation& reserved);
    void poll_inventory(target_record& target, observed_target& state);
    void apply_inventory(const std::string& target, std::int64_t epoch, monotonic_time poll_started,
                         const target_inventory& inventory);
    void apply_task(observed_target& state, const std::string& target, const target_task& task,
                    std::map<std::string, task_report>& reports);
    void report_missing_tasks(observed_target& state, const std::string& target,
                              monotonic_time poll_started, const std::set<std::string>& present,
                              std::map<std::string, task_report>& reports);
    void renew_task_leases(const std::string& target, observed_target& state);
    void release_capacity(const std::string& target, const target_task& task);
    void remove_idle_drivers(monotonic_time now);
    void send_reports(std::map<std::string, task_report> reports);
    void report_refused(const std::string& to, const std::string& job, const task_place& place);
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
    std::map<std::string, std::string> driver_by_job; ///< of jobs, as last heard
    monotonic_time next_driver_cleanup;
    monotonic_time created_at = monotonic_clock::now();
    std::shared_ptr<int> alive = std::make_shared<int>(0);
    timer tick_timer;
};

} // namespace verbenalever
