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
        std::function<bool()> may_extend;
        /// An answer to a look that was sent at @p sent (boot time).
        std::function<void(const target_view& view, milliseconds sent)> viewed;
        /// A newer authority has spoken to the target.
        std::function<void()> fenced;
        /// The target has begun another life.
        std::function<void()> reborn;
        /// It no longer answers, or answers again.
        std::function<void(bool reachable)> reached;
    };

    /// @param lease how long what runs there may go on without word from here
    target_session(event_loop& loop, target_orders& orders, target_life life,
                   std::int64_t fencing_token, milliseconds lease, callbacks notify);
    ~target_session();
    target_session(const target_session&) = delete;
    target_session& operator=(const target_session&) = delete;

    /// Look now and as long as wanted.
    void begin();

    /// Say whether something runs there or is about to.
    void want_looks(bool wanted);

    /// Ends up to @p number need not be listed any more.
    /// @param all whether no end remains that is not recorded
    void acknowledge(std::int64_t number, bool all);

    /// An end was seen that is not recorded yet: the next look waits for that, within limits, since
    /// it would only be told of the same end again.
    void expect_acknowledgement();

    void start(const start_order& order, target_orders::order_callback done);
    void stop(const task_name& task, std::int64_t run, target_orders::order_callback done);

    /// @return whether an order can name an end of the lease. One without would be refused, or
    /// carried out at any later time under a lease that was renewed since.
    [[nodiscard]] bool may_start() const
    {
        return this->clock_ms != 0 && this->misses == 0 && this->notify.may_extend();
    }

    /// @return whether the target has accepted this authority and told what runs there
    [[nodiscard]] bool held() const
    {
        return this->seen;
    }

    /// @return whether the last call to it was answered
    [[nodiscard]] bool reachable() const
    {
        return this->misses == 0;
    }

    /// @return boot time by which everything there has surely lapsed, if nothing more is sent
    [[nodiscard]] milliseconds lapse_time() const
    {
        return this->lapses_at;
    }

private:
    [[nodiscard]] order_authority authority();
    void schedule_look(milliseconds wait);
    void look();
    void take_view(const target_view& view, milliseconds sent);
    void take_clock(const order_result& result);
    void note_answer(const order_result& result);
    void miss();

    target_orders& orders;
    target_life life;
    std::int64_t fencing_token;
    milliseconds lease;
    callbacks notify;

    std::int64_t clock_ms = 0; ///< the target's clock at clock_at; 0: not known
    milliseconds clock_at{0};  ///< boot time
    milliseconds lapses_at{0};
    std::int64_t acknowledged = 0;
    bool looks_wanted = false;
    bool looking = false;
    bool waiting_for_record = false;
    bool seen = false;
    int misses = 0;
    timer look_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
