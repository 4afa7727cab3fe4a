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

class free_capacity_index;
class target_session;
struct workflow;

/// One run of a task on a target, from the choice of the target until the end of the run is seen.
struct placed_run {
    /// Null when its workflow is unknown or has ended; the run is then stopped.
    workflow* owner = nullptr;
    std::int64_t run = 0;
    resources need;
    int unanswered_starts = 0;   ///< start orders that were not answered yet
    std::int64_t batch = 0;      ///< number of its batch in the placement log
    bool start_sent = false;     ///< by this coordinator or an earlier one
    bool start_repeated = false; ///< sent again at once because the first order was not answered
    bool started = false;        ///< the target has confirmed the start
    bool listed = false;         ///< a poll has shown it in this life of the target
    bool answer_missed = false;  ///< a start order had no answer, and may still be executed
    /// Time since boot until which a start order without an answer may be executed; 0: all were
    /// answered.
    milliseconds unanswered_until{0};
    std::int64_t unanswered_batch = 0; ///< number of the batch that stores this; 0: none
    bool stopping = false;             ///< a stop was ordered
    bool in_later_life = false;        ///< its start was confirmed by a later life of the target
    bool adopted = false;              ///< an earlier coordinator started it
    bool suspect = false;              ///< its task may crash targets, see crash_history
    bool stop_avoided = false;         ///< counted as not stopped because of stop_avoidance
    /// Time since boot at which the target confirmed the last order for this run; 0: it has not
    /// confirmed any, so that a start order may still take effect.
    milliseconds order_confirmed_at{0};
    milliseconds last_order_at{0}; ///< time since boot of the last order or its answer
    milliseconds start_sent_at{0}; ///< time since boot of the first start order
    milliseconds stop_sent_at{0};  ///< time since boot of the first stop order
    milliseconds started_at{0};    ///< time since boot
    milliseconds preempted_at{0};  ///< time since boot of its first stop by preemption; 0: none
    double percent = 0; ///< percentage of its work done, in the last poll that showed progress
    milliseconds percent_changed_at{0}; ///< time since boot at which the percent last grew
    int polls_without_progress = 0;
};

/// A start order that may still be executed although its run was given up.
struct unresolved_start {
    std::int64_t run = 0;
    bool stop_in_flight = false; ///< a stop order for it was not answered yet
    /// Time since boot at which the stop was answered; 0: not yet. A run that had begun before it
    /// ends later, so that a poll sent after this has to show what became of it.
    milliseconds stopped_at{0};
    bool holds_task = false; ///< its task must not start again before it is stopped
    /// Time since boot at which a run that the next life of its target has begun by this order has
    /// ended, so that its task need not be held any longer.
    milliseconds held_until{0};
    std::int64_t batch = 0; ///< of its placement in the placement log while it holds its task
    resources need;         ///< of the task
    milliseconds unanswered_until{0}; ///< see placed_run
};

/// An ended run that the target reports until it is acknowledged.
struct unacknowledged_end {
    std::int64_t number = 0;
    bool stored = false; ///< the store has the effects of this end, or it has no effects
};

/// What the coordinator knows about one target between two restarts of it: free resources, runs,
/// ended runs to acknowledge, and whether new work may be placed there.
class fleet_target {
public:
    /// @param registration_id see the member
    /// @param free_targets    holds this target while some of its processors are unused
    fleet_target(target_report report, std::uint64_t registration_id,
                 free_capacity_index& free_targets);
    ~fleet_target();
    fleet_target(const fleet_target&) = delete;
    fleet_target& operator=(const fleet_target&) = delete;

    /// Add a run; its resources count as used from now on.
    placed_run& add_run(const task_name& task, const placed_run& run);

    /// Remove a run and free its resources.
    void remove_run(const task_name& task);

    /// @return capacity that is neither used by runs nor reserved; none while it is unknown how
    /// much a run uses
    [[nodiscard]] resources free_resources() const;

    /// @return capacity that no run uses, reserved or not; none while it is unknown how much a run
    /// uses
    [[nodiscard]] resources unused_resources() const;

    /// @return whether the runs here still fit the capacity as far as resources are concerned of
    /// which @p need has some, so that a placed run with that need may start; its own resources
    /// count as used
    [[nodiscard]] bool can_start(const resources& need) const;

    /// @return how many tasks that need @p need fit into the free resources
    [[nodiscard]] std::uint32_t count_fitting(const resources& need) const
    {
        return count_fitting(this->free_resources(), need);
    }

    /// @return how many tasks that need @p need fit into the free capacity @p room
    [[nodiscard]] static std::uint32_t count_fitting(const resources& room, const resources& need);

    /// @return how many tasks of a step run on this target
    [[nodiscard]] std::uint32_t count_tasks(const std::string& workflow, std::uint32_t step) const;

    /// Add the end of a run that the target reports. @return false when it was added before
    bool add_end(std::int64_t number);

    /// Record that the store has the effects of the end with this number.
    /// @return the highest number up to which all ends are stored
    std::int64_t mark_end_stored(std::int64_t number);

    [[nodiscard]] bool has_unstored_ends() const
    {
        return !this->unacknowledged_ends.empty();
    }

    /// Record that a task has succeeded on this target; ends the quarantine.
    void record_success();

    /// Record that a task has failed on this target; repeated failures quarantine the target.
    void record_failure(milliseconds now);

    /// Record that a run makes no progress on this target; no run is started on it for
    /// stall_backoff.
    void record_stall(milliseconds now);

    /// @return whether no new work is placed here because of repeated failures without a success
    [[nodiscard]] bool quarantined(milliseconds now) const;

    /// @return whether nothing else starts here, so that a crash would show its cause
    [[nodiscard]] bool isolated(milliseconds now) const
    {
        return now < this->isolated_until;
    }

    /// @return whether new work may be placed here now
    [[nodiscard]] bool usable(milliseconds now) const;

    /// Use a newer report of the same target, whose capacity may differ.
    void update_report(const target_report& newer);

    target_report report;
    /// Distinguishes this object from earlier ones of the same target, which exist even without a
    /// restart: a target that disappears from the platform's list and returns gets a new object,
    /// which has none of the earlier reservations.
    std::uint64_t registration_id = 0;
    std::int64_t indexed_processors_milli = 0; ///< its key in the free_capacity_index; 0: not there
    bool restarted = false;                    ///< the target has answered that it was restarted
    bool in_directory = true;                  ///< it is on the platform's list
    std::unique_ptr<target_session> session;
    std::map<task_name, placed_run> tasks;
    /// Until each of them is stopped, no lease is granted and no work is placed here.
    std::map<task_name, unresolved_start> unresolved_starts;
    resources used;
    resources reserved; ///< for gangs whose tickets are renewed or for which other runs stop
    /// gang_order() of each gang whose unanswered question to the advisor names this target.
    std::multiset<int> gang_claims;
    milliseconds added_at{0};            ///< time since boot
    milliseconds isolated_until{0};      ///< time since boot; set while a suspect starts here
    milliseconds start_backoff_until{0}; ///< time since boot; set when the target refuses a start
    std::uint32_t runs_of_unknown_size = 0; ///< runs whose needed resources are not known

private:
    free_capacity_index& free_targets;
    std::deque<unacknowledged_end> unacknowledged_ends;
    std::int64_t last_end_number = 0;
    std::int64_t stored_up_to = 0;
    int consecutive_failures = 0;
    milliseconds quarantined_until{0};
    milliseconds stall_backoff_until{0};
};

} // namespace verbenalever
