#pragma once

#include "loop/event_loop.h"
#include "loop/timer.h"
#include "ports/target_directory.h"
#include "ports/target_orders.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace verbenalever {

/// Targets in memory and the list of them that the platform reports. For tests.
///
/// Records each violation of an invariant: a start brings a target over its capacity, a task runs
/// on two targets, a task starts again after the coordinator acknowledged that it is done.
class fake_targets final : public target_orders, public target_directory {
public:
    struct target {
        target_report report;
        std::int64_t highest_fencing_token = 0;
        std::int64_t lease_until_ms = 0;  ///< on its clock
        milliseconds clock_started_at{0}; ///< time since boot at which its clock showed 0
        std::int64_t last_end_number = 0;
        bool unresponsive = false; ///< does not respond
        /// Selects the start orders that the target executes without a response.
        std::function<bool(const start_order&)> loses_response;
        int polls_to_lose = 0;        ///< number of polls that get no response
        milliseconds order_delay{1};  ///< delay of the response to a start order
        milliseconds stop_delay{1};   ///< time that a run takes to end after a stop order
        bool fails_all_tasks = false; ///< every task fails when its time is over
        bool requires_ticket = false; ///< refuses starts without a ticket
        bool is_stalled = false;      ///< tasks make no progress and do not end
        milliseconds percent_time{0}; ///< time that a run takes for one percent; 0: any

        milliseconds task_duration{20}; ///< 0: tasks run until end_all() is called
        std::map<task_name, std::int64_t> running;
        std::map<task_name, resources> needs;
        std::vector<target_view::ended_task> ended;
        std::map<task_name, std::int64_t> highest_ended_run; ///< such a run cannot start again

        /// A capacity that the target had and that may still be taken for its present one.
        struct earlier_capacity {
            resources capacity;
            milliseconds counts_until{0}; ///< time since boot; 0: until the list is published
        };
        std::vector<earlier_capacity> earlier_capacities;
    };

    explicit fake_targets(event_loop& loop);

    target& add(const std::string& name, std::int64_t processors_milli,
                const std::string& zone = "z1");
    /// Report the list of all targets to the listener.
    void publish_targets();

    /// Change the capacity of a target. The list shows it once it is published; until then, and for
    /// capacity_allowance after it, a start may still bring the target up to the earlier capacity.
    void set_capacity(const std::string& name, const resources& capacity);

    /// Restart a target: same name, new born_ms, no tasks and no fencing token.
    void restart(const std::string& name);

    /// Crash a target: its tasks are gone, and it does not respond until it is restarted after
    /// @p downtime.
    void crash(const std::string& name, milliseconds downtime);

    /// End all running tasks of target @p name.
    void end_all(const std::string& name, target_view::ending how);

    void start(const target_life& life, const order_authority& authority, const start_order& order,
               milliseconds timeout, order_callback done) override;
    void stop(const target_life& life, const order_authority& authority, const task_name& task,
              std::int64_t run, milliseconds timeout, order_callback done) override;
    void poll(const target_life& life, const order_authority& authority, std::int64_t acknowledged,
              milliseconds wait, milliseconds timeout, view_callback done) override;

    void start(listener on_changed) override;
    void stop() override;
    [[nodiscard]] bool is_current() const override
    {
        return true;
    }
    [[nodiscard]] milliseconds up_to_date_at() const override
    {
        return this->list_stopped_at.count() == 0 ? boot_time() : this->list_stopped_at;
    }

    /// @return the number of running tasks of a workflow on all targets
    [[nodiscard]] std::size_t running(const std::string& workflow) const;

    std::map<std::string, std::unique_ptr<target>> targets;
    /// Start times that the platform's list shows for targets instead of their current ones.
    std::map<std::string, std::int64_t> listed_born_ms;
    /// Time since boot from which the list cannot be read, and publish_targets() has no effect; 0:
    /// it can.
    milliseconds list_stopped_at{0};
    std::map<std::string, resources> need_by_workflow; ///< of one task, for the capacity check
    milliseconds capacity_allowance{0}; ///< time that a capacity counts after a newer one is listed
    std::vector<std::string> violations;
    bool executes_starts_for_former_lives = false; ///< as a target does that knows only its name
    /// The same for polls. The answers show that the target has restarted.
    bool executes_polls_for_former_lives = false;
    /// The clock of a target starts anew at each restart.
    bool clocks_restart = false;
    milliseconds longest_lease{0};     ///< longer leases are shortened to this; 0: none are
    std::size_t listed_ends_limit = 0; ///< most ends that one view lists, oldest first; 0: all
    std::function<void(const start_order&)> on_start;               ///< called for each start order
    std::function<void(const order_authority&)> on_start_authority; ///< called for each start order
    /// Called for each poll with the number up to which it acknowledges ends.
    std::function<void(std::int64_t)> on_poll;
    /// Called for each start order with the target that it is sent to.
    std::function<void(const target&)> on_start_at;
    /// Selects the start orders that crash their target just after it has started the task.
    std::function<bool(const start_order&)> crashes_on;
    milliseconds crash_downtime{600};
    int crash_count = 0; ///< crashes so far
    /// Search all targets for a second run of each started task; slow on large fleets.
    bool detect_duplicate_runs = true;
    int poll_count = 0;
    int start_count = 0;

private:
    struct waiting_poll {
        view_callback done;
        std::int64_t acknowledged = 0;
        std::int64_t born_ms = 0; ///< of the target when it was polled
        std::unique_ptr<timer> wait_timer;
    };

    void end(const std::string& name, const task_name& task, std::int64_t run,
             target_view::ending how);
    void answer_polls(const std::string& name);
    void expire_leases();
    void renew_lease(target& destination, const order_authority& authority) const;
    /// @return what the clock of a target shows, in milliseconds
    [[nodiscard]] static std::int64_t clock_of(const target& source)
    {
        return (boot_time() - source.clock_started_at).count();
    }
    [[nodiscard]] bool has_restarted(const target_life& life) const;
    [[nodiscard]] target_view make_view(target& source, std::int64_t acknowledged);
    void call_later(milliseconds wait, std::function<void()> action);
    /// Record a violation if the start of @p started has brought the target over its capacity.
    void check_capacity(const target& destination, const task_name& started);

    /// @return a progress value above all earlier ones, so that the task does not count as stalled
    [[nodiscard]] double next_percent()
    {
        return this->last_percent += 1.0;
    }

    event_loop& loop;
    listener on_changed;
    std::map<std::string, std::vector<waiting_poll>> waiting_polls;
    std::set<task_name> acknowledged_done;
    double last_percent = 1;
    std::vector<std::unique_ptr<timer>> timers;
    timer lease_check_timer; ///< ends tasks whose lease has expired
};

} // namespace verbenalever
