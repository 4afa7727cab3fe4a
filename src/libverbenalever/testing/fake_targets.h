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

/// Targets in memory, and the platform's list of them. For tests.
///
/// It notes each breach of what must always hold: a target given more than it has, a task that runs
/// in two places, a task started again after an acknowledged end.
class fake_targets final : public target_orders, public target_directory {
public:
    struct target {
        target_report report;
        std::int64_t highest_fencing_token = 0;
        std::int64_t lease_until_ms = 0;
        std::int64_t last_end_number = 0;
        bool unresponsive = false; ///< answers nothing
        /// Orders to start that it carries out and whose answers are lost.
        std::function<bool(const start_order&)> loses_response;
        milliseconds order_delay{1};  ///< until it answers an order to start
        bool fails_all_tasks = false; ///< each task ends as failed
        bool is_stalled = false;      ///< what runs there makes no progress and does not end

        milliseconds task_duration{20}; ///< time that a task takes; 0: until end_all() is called
        std::map<task_name, std::int64_t> running;
        std::map<task_name, resources> needs;
        std::vector<target_view::ended_task> ended;
    };

    explicit fake_targets(event_loop& loop);

    target& add(const std::string& name, std::int64_t processors_milli,
                const std::string& zone = "z1");
    void publish_targets();

    /// The target starts again under its name, and knows nothing of before.
    void restart(const std::string& name);

    /// End what runs on @p name.
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

    [[nodiscard]] std::size_t running(const std::string& workflow) const;

    std::map<std::string, std::unique_ptr<target>> targets;
    std::map<std::string, resources> need_by_workflow; ///< of a task of each workflow, for capacity
    std::vector<std::string> violations;
    std::function<void(const start_order&)> on_start;               ///< sees each order to start
    std::function<void(const order_authority&)> on_start_authority; ///< and its authority
    bool detect_duplicate_runs =
        true; ///< look on all targets for a second run; slow on large fleets
    int poll_count = 0;
    int start_count = 0;

private:
    struct waiting_poll {
        view_callback done;
        std::int64_t acknowledged = 0;
        std::int64_t born_ms = 0; ///< the life that was meant
        std::unique_ptr<timer> wait_timer;
    };

    void end(const std::string& name, const task_name& task, std::int64_t run,
             target_view::ending how);
    void answer_polls(const std::string& name);
    void expire_leases();
    static void renew_lease(target& destination, const order_authority& authority);
    [[nodiscard]] bool has_restarted(const target_life& life) const;
    [[nodiscard]] target_view make_view(target& source, std::int64_t acknowledged);
    void call_later(milliseconds wait, std::function<void()> action);

    /// @return a percent above all told before, as sound targets show it
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
    timer lease_check_timer; ///< ends what runs without a lease
};

} // namespace verbenalever
