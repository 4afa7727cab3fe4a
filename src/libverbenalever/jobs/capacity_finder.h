#pragma once

#include "jobs/task_reservation.h"
#include "loop/clock.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace verbenalever {

class job_messenger;
struct reserve_answer;

/// Asks one holder after the other for room for a job's tasks.
class capacity_finder {
public:
    using found_callback = std::function<void(std::vector<task_reservation>)>;

    capacity_finder(job_messenger& messenger, std::string job, std::string queue, std::string team,
                    resources demand);

    /// @return whether a search is going on
    [[nodiscard]] bool busy() const;

    /// Search.
    /// @param holders asked in this order
    /// @param whole   ask on until every task has room; otherwise stop at the first that gives some
    /// @param found   what was granted, possibly nothing
    void search(std::vector<task_key> tasks, std::vector<std::string> holders, bool all_tasks,
                found_callback on_found);

    /// Take in an answer. Room from an answer that comes too late is given back.
    void apply_answer(const std::string& from, const reserve_answer& answer);

    /// Go on to the next holder when one does not answer.
    void tick(monotonic_time now);

    /// Give back room that will not be used.
    void release(const std::vector<task_reservation>& granted);

private:
    void ask_next_holder();
    void finish();

    job_messenger& messenger;
    std::string job;
    std::string queue;
    std::string team;
    resources demand;
    std::uint64_t number = 0;
    bool searching = false;
    bool all_tasks = false;
    std::vector<task_key> wanted;
    std::deque<std::string> holders;
    std::vector<task_reservation> granted;
    monotonic_time answer_deadline;
    found_callback on_found;
};

} // namespace verbenalever
