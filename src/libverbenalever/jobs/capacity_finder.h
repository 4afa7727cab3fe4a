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

/// Asks one entry daemon after the other to reserve capacity for a job's tasks on the targets whose
/// leases it holds.
class capacity_finder {
public:
    using found_callback = std::function<void(std::vector<task_reservation>)>;

    capacity_finder(job_messenger& messenger, std::string job, std::string queue, std::string team,
                    resources demand);

    /// @return whether a search is in progress
    [[nodiscard]] bool busy() const;

    /// Start a search.
    /// @param holders   entry daemons, asked in this order
    /// @param all_tasks continue until every task has a reservation; otherwise stop at the first
    ///                  entry daemon that reserves any
    /// @param on_found  called at the end with the reservations, possibly none
    void search(std::vector<task_key> tasks, std::vector<std::string> holders, bool all_tasks,
                found_callback on_found);

    /// Add the reservations that the entry daemon @p from made for the search. If its answer
    /// arrives too late, it is told to release them.
    void apply_answer(const std::string& from, const reserve_answer& answer);

    /// Ask the next entry daemon when one has not answered in time.
    void tick(monotonic_time now);

    /// Tell the entry daemons that made these reservations to release them, as they will not be
    /// used.
    void release(const std::vector<task_reservation>& granted);

private:
    void ask_next_holder();
    void finish();

    job_messenger& messenger;
    std::string job;
    std::string queue;
    std::string team;
    resources demand;
    std::uint64_t number = 0; ///< of the last reserve_request; other answers are too late
    bool searching = false;
    bool all_tasks = false;
    std::vector<task_key> wanted;    ///< tasks without a reservation
    std::deque<std::string> holders; ///< entry daemons not asked yet
    std::vector<task_reservation> granted;
    monotonic_time answer_deadline;
    found_callback on_found;
};

} // namespace verbenalever
