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

/// One run of a task on a target, from the choice of the target until the end of the run is seen.
struct placed_run {
    workflow* owner = nullptr; ///< null: its workflow is unknown or over, so it is stopped
    std::int64_t run = 0;
    resources need;
    int unanswered_starts = 0; ///< start orders that were not answered yet
    std::int64_t batch = 0;    ///< number of its batch in the placement log
    bool start_sent = false;   ///< by this coordinator or an earlier one
    bool started = false;      ///< the target has confirmed the start
    bool stopping = false;     ///< a stop was ordered
    /// Boot time at which the target confirmed the last order for this run; 0: it has not, so that
    /// the run may still start.
    milliseconds order_confirmed_at{0};
    milliseconds last_order_at{0};      ///< boot time of the last order or its answer
    milliseconds started_at{0};         ///< boot time
    double percent = 0;                 ///< of its work done, in the last poll that showed progress
    milliseconds percent_changed_at{0}; ///< boot time at which the percent last grew
    int polls_without_progress = 0;
};

/// An ended run that the target reports until it is acknowledged.
struct unacknowledged_end {
    std::int64_t number = 0;
    bool stored = false; ///< its effects are in the store, or it has none
};

/// The coordinator's state of one target between two restarts of it: free resources, runs, ended
/// runs to acknowledge, and whether new work may be placed there.
class fleet_target {
public:
    explicit fleet_target(target_report report);
    ~fleet_target();
    fleet_target(const fleet_target&) = delete;
    fleet_target& operator=(const fleet_target&) = delete;

    /// Add a run; its resources count as used from now on.
    placed_run& add_run(const task_name& task, const placed_run& run);

    /// Remove a run and free its resources.
    void remove_run(const task_name& task);

    /// @return what is neither used nor reserved; nothing while the size of a run is unknown
    [[nodiscard]] resources free_resources() const;

    /// @return what runs do not use, reserved or not; nothing while the size of a run is unknown
    [[nodiscard]] resources unused_resources() const;

    /// @return how many tasks that need @p need fit into the free resources
    [[nodiscard]] std::uint32_t count_fitting(const resources& need) const
    {
        return count_fitting(this->free_resources(), need);
    }

    /// @return how many tasks that need @p need fit into @p room
    [[nodiscard]] static std::uint32_t count_fitting(const resources& room, const resources& need);

    /// @return how many tasks of a step run here
    [[nodiscard]] std::uint32_t count_tasks(const std::string& workflow, std::uint32_t step) const;

    /// Add an end that the target reports. @return false when it was added before
    bool add_end(std::int64_t number);

    /// Mark the effects of an end as stored.
    /// @return the highest number up to which all ends are stored
    std::int64_t mark_end_stored(std::int64_t number);

    [[nodiscard]] bool has_unstored_ends() const
    {
        return !this->unacknowledged_ends.empty();
    }

    /// A task has succeeded here: ends the quarantine.
    void record_success();

    /// A task has failed here: repeated failures quarantine the target.
    void record_failure(milliseconds now);

    /// A run here makes no progress: nothing new is started here for stall_backoff.
    void record_stall(milliseconds now);

    /// @return whether repeated failures without a success keep new work away
    [[nodiscard]] bool quarantined(milliseconds now) const;

    /// @return whether new work may be placed here now
    [[nodiscard]] bool usable(milliseconds now) const;

    target_report report;
    /// Distinguishes this object from earlier ones of the same target, even without a restart:
    /// after a target was off the platform's list, its new object holds no earlier reservations.
    std::uint64_t registration_id = 0;
    bool restarted = false;   ///< the target has answered that it was restarted
    bool in_directory = true; ///< it is on the platform's list
    std::unique_ptr<target_session> session;
    std::map<task_name, placed_run> tasks;
    resources used;
    resources reserved; ///< for steps that wait for the advisor
    /// gang_order() of each gang whose unanswered question to the advisor names this target.
    std::multiset<int> gang_claims;
    milliseconds start_backoff_until{0};    ///< boot time; set when it refuses a start
    std::uint32_t runs_of_unknown_size = 0; ///< runs whose needed resources are not known

private:
    std::deque<unacknowledged_end> unacknowledged_ends;
    std::int64_t last_end_number = 0;
    std::int64_t stored_up_to = 0;
    int consecutive_failures = 0;
    milliseconds quarantined_until{0};
    milliseconds stall_backoff_until{0};
};

} // namespace verbenalever
