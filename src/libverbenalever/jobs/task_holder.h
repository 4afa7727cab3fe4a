#pragma once

#include "jobs/held_target.h"
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
class job_mailbox;
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
class task_holder {
public:
    task_holder(event_loop& loop, const entry_settings& settings, job_mailbox& mailbox,
                kv_client& store, target_registry& registry, target_client& client,
                placement_policy_table& placements, counters& metrics, const event_log& log);
    ~task_holder();
    task_holder(const task_holder&) = delete;
    task_holder& operator=(const task_holder&) = delete;

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
        bool started = false; ///< the start was sent and its outcome is not known
    };

    void add_handlers();
    void reserve(const std::string& from, const reserve_request& request);
    void start_tasks(const std::string& from, const start_request& request);
    void start_one(const std::string& from, const start_request& request, const task_place& place);
    void start_answered(const std::string& job, const task_place& place,
                        const absl::Status& answer);
    void release(const release_request& request);
    void answer(const std::string& from, const task_query& query);
    void obey(const std::string& from, const task_order& order);
    [[nodiscard]] task_status status_of(const task_place& place);

    void tick();

    /// @return the targets to which a start was sent whose outcome is not known
    [[nodiscard]] std::set<std::string_view> targets_with_starts() const;
    void tell_lost(const std::string& target, held_target& state);
    static void take_lease(const target_record& target, held_target& state);
    void take_first_inventory(const target_record& target, const target_inventory& inventory);
    void expire_reservations(monotonic_time now);
    void free_reservation(const task_key& key, const reservation& room);
    void read(target_record& target, held_target& state);
    void digest(const std::string& target, std::int64_t epoch, monotonic_time read_started,
                const target_inventory& inventory);
    void take_task(held_target& state, const std::string& target, const target_task& task,
                   std::map<std::string, task_report>& reports);
    void drop_vanished(held_target& state, const std::string& target, monotonic_time read_started,
                       const std::set<std::string>& present,
                       std::map<std::string, task_report>& reports);
    void renew_tasks(const std::string& target, held_target& state);
    void release_room(const std::string& target, const target_task& task);
    void forget_idle_jobs(monotonic_time now);
    void send_reports(std::map<std::string, task_report> reports);
    void refuse(const std::string& to, const std::string& job, const task_place& place);
    void forget_if_recorded(const std::string& target, const std::string& task);

    const entry_settings& settings;
    job_mailbox& mailbox;
    kv_client& store;
    target_registry& registry;
    target_client& client;
    placement_policy_table& placements;
    counters& metrics;
    const event_log& log;
    std::map<task_key, reservation> reservations;
    std::map<std::string, held_target, std::less<>> held;
    std::map<std::string, std::string> drivers; ///< of jobs, as last heard
    monotonic_time next_forgetting;
    monotonic_time born = monotonic_clock::now();
    std::shared_ptr<int> alive = std::make_shared<int>(0);
    timer pass_timer;
};

} // namespace verbenalever
