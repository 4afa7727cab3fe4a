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

/// Drives one job: keeps "placed" before each start, follows its tasks, and keeps their ends before
/// a target may forget them. Nothing changed in memory is acted on until the store has it.
class job_driver {
public:
    /// @param record as the store has it, with this process as its driver
    job_driver(const job_context& context, job_record record);
    ~job_driver();
    job_driver(const job_driver&) = delete;
    job_driver& operator=(const job_driver&) = delete;

    /// Drive a job whose first page this entry has just created.
    void start(std::int64_t revision);

    /// Take a job over from a driver that is gone: claim its first page, then read and claim the
    /// others, so that no write of the earlier driver can follow.
    void adopt(std::int64_t revision);

    /// Do what is due. Called often.
    void tick(monotonic_time now);

    void apply_reserve_answer(const std::string& from, const reserve_answer& answer);
    void apply_report(const std::string& from, const task_report& report);

    /// The job's cancellation is kept.
    void cancel();

    /// Give the job up for another entry to take.
    /// @param done called once that is kept, or ownership is lost
    void release(std::function<void()> done);

    [[nodiscard]] const job_record& record() const;

    /// @return whether there is nothing left to do: the job's end is kept, or another drives it
    [[nodiscard]] bool driving_ended() const;

private:
    enum class phase { adopting, driving, releasing, ended };

    void end_after_lost_ownership();
    void load_pages();
    void poll_cancellation(monotonic_time now);
    void place_due_tasks(monotonic_time now);
    [[nodiscard]] std::vector<std::string> candidate_holders() const;
    [[nodiscard]] std::vector<task_key> collect_due_tasks(monotonic_time now);
    void store_placements(std::vector<task_reservation> granted);
    void send_starts(const std::vector<task_reservation>& granted);
    void query_tasks(monotonic_time now);
    void stop_incomplete_gang(monotonic_time now);
    void stop_placed_tasks(monotonic_time now);
    void cancel_pending_tasks();

    void apply_status(const std::string& from, const task_status& status, monotonic_time now,
                      std::vector<std::size_t>& changed);
    void apply_not_held(const std::string& from, const task_status& status, std::size_t index,
                        monotonic_time now, std::vector<std::size_t>& changed);
    [[nodiscard]] bool task_lease_expired(std::size_t index, monotonic_time now) const;
    void end_expired_attempt(std::size_t index, monotonic_time now);
    void end_attempt(std::size_t index, const task_status& status, monotonic_time now);
    void record_failure(std::size_t index, const task_status& status, monotonic_time now);
    void schedule_restart(std::size_t index, milliseconds delay, monotonic_time now);
    void fail_pending_if_hopeless(std::vector<std::size_t>& changed);
    void store_changes(const std::vector<std::size_t>& changed,
                       std::vector<task_place> forgettable);
    void mark_finished();
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
    std::int64_t attempt_count = 0; ///< numbers starts within this epoch
    monotonic_time next_placement;
    monotonic_time next_cancel_check;
    std::uint32_t random_state;
    std::function<void()> on_released;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
