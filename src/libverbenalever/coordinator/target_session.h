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
/// A poll renews the lease of the runs, acknowledges ended runs, waits for the next run to end and
/// returns the running and the ended runs. Polls are repeated while something runs on the target or
/// is about to run there.
class target_session {
public:
    /// Longest time for which an order that was answered, its repetitions and its relays may be on
    /// their way.
    static constexpr milliseconds late_execution_limit{2500};

    struct callbacks {
        /// @return whether the leases of the runs may be renewed
        std::function<bool()> may_renew_leases;
        /// Called when the target has answered a poll that was sent at @p sent (time since boot).
        std::function<void(const target_view& view, milliseconds sent)> poll_answered;
        /// Called when the target has refused this fencing token because it has received a newer
        /// one.
        std::function<void()> fenced;
        /// Called when the target answers that it was restarted.
        std::function<void()> restarted;
        /// Called when the target no longer answers, or answers again.
        std::function<void(bool reachable)> reachability_changed;
    };

    /// @param coordinator fencing token for this life of the target, and the term
    /// @param lease how long runs go on after the last order or poll that renewed the lease
    /// @param longest_lease the target shortens longer leases to this
    target_session(event_loop& loop, target_orders& orders, target_life life,
                   const order_authority& coordinator, milliseconds lease,
                   milliseconds longest_lease, callbacks notify);
    ~target_session();
    target_session(const target_session&) = delete;
    target_session& operator=(const target_session&) = delete;

    /// Send the first poll.
    void start_polling();

    /// Start or stop repeated polls.
    /// @param wanted whether something runs on the target or is about to run there
    /// @param urgent whether some of it is urgent, so that a lost poll must be noticed early
    void set_polling(bool wanted, bool urgent);

    /// Send one more poll, which the target answers at once; after the one in progress, if any.
    void probe();

    /// Make the next poll acknowledge the ended runs up to @p number, so that the target no longer
    /// reports them.
    /// @param all whether all ends that the target has reported are stored
    void acknowledge_ends(std::int64_t number, bool all);

    /// Delay the next poll until acknowledge_ends() is called, at most for max_store_wait: as long
    /// as the end that the target has just reported is not stored, a poll would only return it
    /// again.
    void wait_for_stored_end();

    void start(const start_order& order, target_orders::order_callback done);
    /// Send a start order again whose answer has just been missed, with a lease although the target
    /// counts as unreachable; requires can_repeat_start().
    void repeat_start(const start_order& order, target_orders::order_callback done);
    void stop(const task_name& task, std::int64_t run, target_orders::order_callback done);

    /// @return whether an order can contain the time at which the lease expires. A start order
    /// without that time would be refused, or could arrive late and be carried out under a lease
    /// that was renewed after the order was sent.
    [[nodiscard]] bool can_grant_lease() const
    {
        return this->clock_ms != 0 && this->missed_answers == 0 && this->notify.may_renew_leases();
    }

    /// @return whether repeat_start() can grant a lease
    [[nodiscard]] bool can_repeat_start() const
    {
        return this->clock_ms != 0 && this->notify.may_renew_leases();
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

    /// @return time since boot of this life's last answer
    [[nodiscard]] milliseconds last_answer_at() const
    {
        return this->answered_at;
    }

    /// @return whether the target's clock has shown that a later life answers orders for this one
    [[nodiscard]] bool answered_by_later_life() const
    {
        return this->later_life_answers;
    }

    /// @return time since boot at which the leases of all runs on the target have expired unless
    /// they are renewed
    [[nodiscard]] milliseconds lease_expiry() const
    {
        return this->lease_expires_at;
    }

    /// @return time since boot at which a run that a later life of the target has begun by an order
    /// for this life has ended, unless that life has got a lease of its own. A target that restarts
    /// under its name executes orders for its former life. Its clock starts anew, so that the lease
    /// in such an order is one of the longest length, from when the order is executed.
    /// @param kept_until time since boot until which an order without an answer may be executed
    [[nodiscard]] milliseconds next_life_lease_expiry(milliseconds kept_until) const;

    /// @return time since boot at which the last poll was sent that this life has answered; 0: none
    [[nodiscard]] milliseconds last_polled_at() const
    {
        return this->polled_at;
    }

    /// @return how long a lease of this length, by a target's slow clock, may last by ours
    [[nodiscard]] static milliseconds longest_duration(milliseconds lease);

private:
    /// @return the fencing token, with a renewed lease if one can be granted
    [[nodiscard]] order_authority issue_authority();
    /// @return the fencing token with a renewed lease
    [[nodiscard]] order_authority grant_lease();
    /// Assume that a lease of this length begins now: one that is granted, or one that an order of
    /// an earlier coordinator, or for a former life, granted before the first poll fenced it off.
    void assume_lease(milliseconds length);
    /// Send a start order once.
    void send_start(const start_order& order, const order_authority& authority,
                    milliseconds timeout, target_orders::order_callback done);
    /// @return number for the next poll to acknowledge, 0 if none. Poll requests do not name a life
    /// of the target and may be executed late: one that a restarted target executes makes it forget
    /// ends of its new life. So each number is sent until a poll with it is answered, and none
    /// while the target may have restarted unnoticed.
    [[nodiscard]] std::int64_t due_acknowledgement() const;
    void schedule_poll(milliseconds wait);
    void poll();
    void apply_poll_result(const target_view& view, milliseconds sent);
    void apply_clock(const order_result& result);
    void apply_answer(const order_result& result);
    void record_missed_answer();

    target_orders& orders;
    target_life life;
    order_authority coordinator; ///< without a lease
    milliseconds lease;
    milliseconds longest_lease;
    callbacks notify;

    std::int64_t clock_ms = 0;   ///< the target's clock at clock_at; 0: unknown
    milliseconds clock_at{0};    ///< time since boot
    milliseconds answered_at{0}; ///< time since boot
    milliseconds polled_at{0};   ///< see last_polled_at()
    milliseconds lease_expires_at{0};
    milliseconds last_grant_at{0}; ///< time since boot; 0: this session has granted no lease
    std::int64_t acknowledged_up_to = 0;
    std::int64_t confirmed_up_to = 0; ///< highest number in a poll that was answered
    bool polling_wanted = false;
    bool polling_urgent = false;
    bool poll_in_progress = false;
    bool probing = false; ///< the next poll does not wait for an end
    bool waiting_for_stored_end = false;
    bool has_been_polled = false;
    bool later_life_answers = false; ///< see answered_by_later_life()
    int missed_answers = 0;
    timer poll_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
