#pragma once

#include "jobs/capacity_finder.h"
#include "jobs/job_pages.h"
#include "jobs/job_record.h"
#include "jobs/task_live_state.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

struct job_context;
struct task_report;
struct task_status;

/// Drives one job: stores each task as "placed" before it is started, tracks the tasks, and stores
/// their ends before targets are told to forget them. A change in memory has no effect outside this
/// process until it is stored.
class job_driver {
public:
    /// @param record the job's record as it is stored
    job_driver(const job_context& context, job_record record);
    ~job_driver();
    job_driver(const job_driver&) = delete;
    job_driver& operator=(const job_driver&) = delete;

    /// Drive a job whose first page this entry daemon has just created.
    /// @param revision of the first page
    void start(std::int64_t revision);

    /// Adopt a job from a driver that has failed or released it: rewrite the first page with this
    /// entry daemon as the driver, then read and rewrite the others, so that any later write of the
    /// earlier driver fails.
    /// @param revision of the first page
    void adopt(std::int64_t revision);

    /// Run the actions that are due: placement, queries, stops. Called periodically.
    void tick(monotonic_time now);

    /// Handle an entry daemon's answer to a request to reserve capacity.
    void apply_reserve_answer(const std::string& from, const reserve_answer& answer);
    /// Update the tasks from an entry daemon's report, and store and act on what changed.
    void apply_report(const std::string& from, const task_report& report);

    /// Cancel the job, after its cancellation was stored.
    void cancel();

    /// Release the job, so that another entry daemon can adopt it.
    /// @param done called once the release is stored or another driver owns the job
    void release(std::function<void()> done);

    [[nodiscard]] const job_record& record() const;

    /// @return whether this driver is done: the job's end or release is stored, or another process
    ///         may have written the job's record
    [[nodiscard]] bool driving_ended() const;

private:
    enum class phase { adopting, driving, releasing, ended };

    /// Stop driving the job, because another process may have written its record.
    void end_after_lost_ownership();
    void load_pages();
    void poll_cancellation(monotonic_time now);
    /// Request capacity for pending tasks; then store their placement and start them.
    void place_due_tasks(monotonic_time now);
    /// @return the live entry daemons with free slots, those of this availability zone first
    [[nodiscard]] std::vector<std::string> candidate_holders() const;
    [[nodiscard]] std::vector<task_key> collect_due_tasks(monotonic_time now);
    void store_placements(std::vector<task_reservation> granted);
    void send_starts(const std::vector<task_reservation>& granted);
    /// Query the state of placed tasks from the entry daemon that holds the target's lease, or, if
    /// that one is unknown, from all entry daemons of the target's zone.
    void query_tasks(monotonic_time now);
    /// Stop the rest of a gang of which a task has to start again.
    void stop_incomplete_gang(monotonic_time now);
    void stop_placed_tasks(monotonic_time now);
    void cancel_pending_tasks();

    void apply_status(const std::string& from, const task_status& status, monotonic_time now,
                      std::vector<std::size_t>& changed);
    void apply_not_held(const std::string& from, const task_status& status, std::size_t index,
                        monotonic_time now, std::vector<std::size_t>& changed);
    [[nodiscard]] bool task_lease_expired(std::size_t index, monotonic_time now) const;
    void end_expired_attempt(std::size_t index, monotonic_time now);
    /// Apply the end of a task's last start: it is done, failed, or pending again.
    void end_attempt(std::size_t index, const task_status& status, monotonic_time now);
    void record_failure(std::size_t index, const task_status& status, monotonic_time now);
    void schedule_restart(std::size_t index, milliseconds delay, monotonic_time now);
    /// Fail the pending tasks if min_hopeless_failures tasks have failed and none is done.
    void fail_pending_if_hopeless(std::vector<std::size_t>& changed);
    /// Store changed tasks, and the job's end if its last task has ended.
    /// @param forgettable starts that targets may forget once their end is stored
    void store_changes(const std::vector<std::size_t>& changed,
                       std::vector<task_place> forgettable);
    void mark_finished();
    /// Log and count the stored end of the job, and stop driving it.
    void report_finished();
    void send_forget_orders(const std::vector<task_place>& forgettable);

    [[nodiscard]] std::string task_id(std::size_t index) const;
    [[nodiscard]] std::size_t index_of(std::string_view task) const;

    const job_context& context;
    job_record job;
    std::vector<task_live_state> live_states;
    job_pages pages;
    capacity_finder finder;
    phase state = phase::adopting;
    std::int64_t attempt_count = 0; ///< starts in this epoch; part of their ids
    monotonic_time next_placement;
    monotonic_time next_cancel_check;
    std::uint32_t random_state;
    std::function<void()> on_released;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
