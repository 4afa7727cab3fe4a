#pragma once

#include "loop/clock.h"
#include "loop/timer.h"
#include "ports/target_orders.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace verbenalever {

class event_loop;

/// Sends polls and orders to one target between two restarts of it, under the coordinator's fencing
/// token, and renews the lease of its runs.
///
/// A poll renews the lease of the runs, acknowledges ends, waits for the next end and returns what
/// runs and has ended. Polls are repeated while something runs on the target or is about to.
class target_session {
public:
    struct callbacks {
        /// @return whether the leases of the runs may be renewed
        std::function<bool()> may_renew_leases;
        /// A poll that was sent at @p sent (boot time) was answered.
        std::function<void(const target_view& view, milliseconds sent)> poll_answered;
        /// The target refused this fencing token: it has received a newer one.
        std::function<void()> fenced;
        /// The target was restarted.
        std::function<void()> restarted;
        /// The target no longer answers, or answers again.
        std::function<void(bool reachable)> reachability_changed;
    };

    /// @param lease how long runs go on after the last order or poll that renewed the lease
    target_session(event_loop& loop, target_orders& orders, target_life life,
                   std::int64_t fencing_token, milliseconds lease, callbacks notify);
    ~target_session();
    target_session(const target_session&) = delete;
    target_session& operator=(const target_session&) = delete;

    /// Send the first poll.
    void start_polling();

    /// Start or stop repeated polls. @param wanted whether something runs there or is about to
    void set_polling(bool wanted);

    /// Let the next poll acknowledge the ends up to @p number, so that the target drops them.
    /// @param all whether no end remains that is not stored
    void acknowledge_ends(std::int64_t number, bool all);

    /// Delay the next poll until acknowledge_ends() is called, at most for max_store_wait: until
    /// the end just seen is stored, a poll would only return it again.
    void wait_for_stored_end();

    void start(const start_order& order, target_orders::order_callback done);
    void stop(const task_name& task, std::int64_t run, target_orders::order_callback done);

    /// @return whether an order can name the time at which the lease expires. A start without that
    /// would be refused, or be delayed and carried out under a lease that was renewed since.
    [[nodiscard]] bool can_grant_lease() const
    {
        return this->clock_ms != 0 && this->missed_answers == 0 && this->notify.may_renew_leases();
    }

    /// @return whether the target has accepted the fencing token and answered a poll
    [[nodiscard]] bool polled() const
    {
        return this->has_been_polled;
    }

    /// @return whether the target answered the last poll or order
    [[nodiscard]] bool reachable() const
    {
        return this->missed_answers == 0;
    }

    /// @return boot time by which the lease of every run there has expired, if it is not renewed
    [[nodiscard]] milliseconds lease_expiry() const
    {
        return this->lease_expires_at;
    }

private:
    /// @return the fencing token, with a renewed lease if one can be granted
    [[nodiscard]] order_authority issue_authority();
    void schedule_poll(milliseconds wait);
    void poll();
    void apply_poll_result(const target_view& view, milliseconds sent);
    void apply_clock(const order_result& result);
    void apply_answer(const order_result& result);
    void record_missed_answer();

    target_orders& orders;
    target_life life;
    std::int64_t fencing_token;
    milliseconds lease;
    callbacks notify;

    std::int64_t clock_ms = 0; ///< the target's clock at clock_at; 0: unknown
    milliseconds clock_at{0};  ///< boot time
    milliseconds lease_expires_at{0};
    std::int64_t acknowledged_up_to = 0;
    bool polling_wanted = false;
    bool poll_in_progress = false;
    bool waiting_for_stored_end = false;
    bool has_been_polled = false;
    int missed_answers = 0;
    timer poll_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
