#pragma once

#include "jobs/job_pages.h"
#include "jobs/job_record.h"
#include "jobs/room_finder.h"
#include "jobs/task_progress.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

struct job_services;
struct task_report;
struct task_status;

/// Drives one job: keeps "placed" before each start, follows its tasks, and keeps their ends before
/// a target may forget them. Nothing changed in memory is acted on until the store has it.
class job_driver {
public:
    /// @param record as the store has it, with this process as its driver
    job_driver(const job_services& services, job_record record);
    ~job_driver();
    job_driver(const job_driver&) = delete;
    job_driver& operator=(const job_driver&) = delete;

    /// Drive a job whose first page this entry has just created.
    void begin(std::int64_t revision);

    /// Take a job over from a driver that is gone: claim its first page, then read and claim the
    /// others, so that no write of the earlier driver can follow.
    void adopt(std::int64_t revision);

    /// Do what is due. Called often.
    void step(monotonic_time now);

    void take_answer(const std::string& from, const reserve_answer& answer);
    void take_report(const std::string& from, const task_report& report);

    /// The job's cancellation is kept.
    void cancel();

    /// Give the job up for another entry to take.
    /// @param done called once that is kept, or ownership is lost
    void hand_over(std::function<void()> done);

    [[nodiscard]] const job_record& record() const;

    /// @return whether there is nothing left to do: the job's end is kept, or another drives it
    [[nodiscard]] bool over() const;

private:
    enum class phase { claiming, driving, handing_over, over };

    void lose();
    void read_pages();
    void check_cancelled(monotonic_time now);
    void place(monotonic_time now);
    [[nodiscard]] std::vector<std::string> holders() const;
    [[nodiscard]] std::vector<task_key> due_tasks(monotonic_time now);
    void take_room(std::vector<granted_task> granted);
    void send_starts(const std::vector<granted_task>& granted);
    void ask_about_tasks(monotonic_time now);
    void stop_gang_remains(monotonic_time now);
    void stop_placed(monotonic_time now);
    void cancel_pending();

    void take_status(const std::string& from, const task_status& status, monotonic_time now,
                     std::vector<std::size_t>& changed);
    void take_not_held(const std::string& from, const task_status& status, std::size_t index,
                       monotonic_time now, std::vector<std::size_t>& changed);
    [[nodiscard]] bool surely_lapsed(std::size_t index, monotonic_time now) const;
    void end_lapsed(std::size_t index, monotonic_time now);
    void end_attempt(std::size_t index, const task_status& status, monotonic_time now);
    void count_failure(std::size_t index, const task_status& status, monotonic_time now);
    void start_again(std::size_t index, milliseconds delay, monotonic_time now);
    void give_up_if_hopeless(std::vector<std::size_t>& changed);
    void save_ends(const std::vector<std::size_t>& changed, std::vector<task_place> recorded);
    void mark_finished();
    void record_end();
    void forget(const std::vector<task_place>& recorded);

    [[nodiscard]] std::string task_id(std::size_t index) const;
    [[nodiscard]] std::size_t index_of(std::string_view task) const;

    const job_services& services;
    job_record job;
    std::vector<task_progress> progress;
    job_pages pages;
    room_finder finder;
    phase state = phase::claiming;
    std::int64_t attempts = 0; ///< numbers starts within this epoch
    monotonic_time next_placement;
    monotonic_time next_cancel_check;
    std::uint32_t random_state;
    std::function<void()> handed_over;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
