#pragma once

#include "loop/clock.h"
#include "loop/timer.h"
#include "ports/target_orders.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace verbenalever {

class event_loop;

/// The coordinator's dealings with one life of a target: authority, lease, looks and orders.
///
/// A look renews the lease of what runs there, acknowledges ends, and waits for the next end. It is
/// repeated while something is expected of the target.
class target_session {
public:
    struct callbacks {
        /// @return whether tasks there may go on for another lease
        std::function<bool()> may_renew_leases;
        /// An answer to a look that was sent at @p sent (boot time).
        std::function<void(const target_view& view, milliseconds sent)> poll_answered;
        /// A newer authority has spoken to the target.
        std::function<void()> fenced;
        /// The target has begun another life.
        std::function<void()> restarted;
        /// It no longer answers, or answers again.
        std::function<void(bool reachable)> reachability_changed;
    };

    /// @param lease how long what runs there may go on without word from here
    target_session(event_loop& loop, target_orders& orders, target_life life,
                   std::int64_t fencing_token, milliseconds lease, callbacks notify);
    ~target_session();
    target_session(const target_session&) = delete;
    target_session& operator=(const target_session&) = delete;

    /// Look now and as long as wanted.
    void start_polling();

    /// Say whether something runs there or is about to.
    void set_polling(bool wanted);

    /// Ends up to @p number need not be listed any more.
    /// @param all whether no end remains that is not recorded
    void acknowledge_ends(std::int64_t number, bool all);

    /// An end was seen that is not recorded yet: the next look waits for that, within limits, since
    /// it would only be told of the same end again.
    void wait_for_stored_end();

    void start(const start_order& order, target_orders::order_callback done);
    void stop(const task_name& task, std::int64_t run, target_orders::order_callback done);

    /// @return whether an order can name an end of the lease. One without would be refused, or
    /// carried out at any later time under a lease that was renewed since.
    [[nodiscard]] bool can_grant_lease() const
    {
        return this->clock_ms != 0 && this->missed_answers == 0 && this->notify.may_renew_leases();
    }

    /// @return whether the target has accepted this authority and told what runs there
    [[nodiscard]] bool polled() const
    {
        return this->has_been_polled;
    }

    /// @return whether the last call to it was answered
    [[nodiscard]] bool reachable() const
    {
        return this->missed_answers == 0;
    }

    /// @return boot time by which everything there has surely lapsed, if nothing more is sent
    [[nodiscard]] milliseconds lease_expiry() const
    {
        return this->lease_expires_at;
    }

private:
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

    std::int64_t clock_ms = 0; ///< the target's clock at clock_at; 0: not known
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
