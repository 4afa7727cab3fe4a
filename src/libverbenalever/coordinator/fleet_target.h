#pragma once

#include "loop/clock.h"
#include "ports/target_report.h"
#include "ports/task_order.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace verbenalever {

class target_session;
struct workflow;

/// One run of a task on a target, from the order to start it until its end is seen.
struct placed_run {
    workflow* owner = nullptr; ///< null: of no workflow known here, to be stopped
    std::int64_t run = 0;
    resources need;
    int unanswered_starts = 0; ///< starts that were not answered yet
    std::int64_t batch = 0;    ///< of the placement log
    bool start_sent = false;   ///< the start was sent, or may have been by an earlier coordinator
    bool started = false;      ///< the target has confirmed it
    bool stopping = false;     ///< an order to stop it was given
    /// Boot time when the target last answered an order for it; 0: none was answered, so that it
    /// may still begin.
    milliseconds order_confirmed_at{0};
    milliseconds last_order_at{0};
    milliseconds started_at{0};         ///< boot time
    double percent = 0;                 ///< of its work, when last seen
    milliseconds percent_changed_at{0}; ///< when that last grew
    int polls_without_progress = 0;
};

/// An end that the target lists until it is acknowledged.
struct unacknowledged_end {
    std::int64_t number = 0;
    bool stored = false; ///< nothing is lost if the target forgets it
};

/// One life of a target, as the coordinator knows it: room, tasks, ends, soundness.
class fleet_target {
public:
    explicit fleet_target(target_report report);
    ~fleet_target();
    fleet_target(const fleet_target&) = delete;
    fleet_target& operator=(const fleet_target&) = delete;

    /// Add a run; its room counts from now on.
    placed_run& add_run(const task_name& task, const placed_run& run);

    /// Remove a run; its room is free.
    void remove_run(const task_name& task);

    /// @return what is not taken; nothing while something of unknown size runs here
    [[nodiscard]] resources free_resources() const;

    /// @return what is not taken by runs, reserved or not; nothing while the size of one is unknown
    [[nodiscard]] resources unused_resources() const;

    /// @return how many tasks of this size fit now
    [[nodiscard]] std::uint32_t count_fitting(const resources& need) const
    {
        return count_fitting(this->free_resources(), need);
    }

    /// @return how many tasks of this size fit into @p room
    [[nodiscard]] static std::uint32_t count_fitting(const resources& room, const resources& need);

    /// @return how many tasks of a step run here
    [[nodiscard]] std::uint32_t count_tasks(const std::string& workflow, std::uint32_t step) const;

    /// Note an end that the target lists. @return false when it was noted before
    bool add_end(std::int64_t number);

    /// The end will not be lost. @return the number up to which all are recorded
    std::int64_t mark_end_stored(std::int64_t number);

    [[nodiscard]] bool has_unstored_ends() const
    {
        return !this->unacknowledged_ends.empty();
    }

    /// A task has ended as done here.
    void record_success();

    /// A task has failed here.
    void record_failure(milliseconds now);

    /// A run here stands still: nothing new is started here for a while.
    void record_stall(milliseconds now);

    /// @return whether work is kept away, since all that it started lately has failed
    [[nodiscard]] bool quarantined(milliseconds now) const;

    /// @return whether new work may be placed here
    [[nodiscard]] bool usable(milliseconds now) const;

    target_report report;
    /// Tells this object from others of the same target, also of the same life: one that was off
    /// the platform's list and is back has nothing of what was kept before.
    std::uint64_t registration_id = 0;
    bool restarted = false;   ///< it has said that this life is over
    bool in_directory = true; ///< the platform's list has it
    std::unique_ptr<target_session> session;
    std::map<task_name, placed_run> tasks;
    resources used;
    resources reserved; ///< kept for steps about to start here
    /// Order of each gang for which an open question to the advisor names it.
    std::multiset<int> gang_claims;
    milliseconds start_backoff_until{0};    ///< boot time; it has just turned a start away
    std::uint32_t runs_of_unknown_size = 0; ///< tasks whose size is not known here

private:
    std::deque<unacknowledged_end> unacknowledged_ends;
    std::int64_t last_end_number = 0;
    std::int64_t stored_up_to = 0;
    int consecutive_failures = 0;
    milliseconds quarantined_until{0};
    milliseconds stall_backoff_until{0};
};

} // namespace verbenalever
