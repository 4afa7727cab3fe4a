#include "coordinator/target_session.h"

#include "loop/event_loop.h"

#include <algorithm>
#include <utility>

namespace verbenalever {

namespace {

/// How long a poll waits at the target for an end: well below the lease that it renews.
constexpr milliseconds poll_wait{1000};
/// The same while the end of an urgent run is awaited: a poll that gets lost hides the end until it
/// times out.
constexpr milliseconds urgent_poll_wait{400};
/// Timeout of a poll beyond the time that the target waits for an end.
constexpr milliseconds answer_timeout{600};
constexpr milliseconds urgent_answer_timeout{300};
/// Wait before a target that did not answer is polled again.
constexpr milliseconds retry_wait{300};
/// Longest wait for an end to be stored before the next poll, which renews the lease.
constexpr milliseconds max_store_wait{400};
/// Timeout of an order.
constexpr milliseconds order_timeout{500};
/// Timeout of a start order that is sent for the first time: targets answer within milliseconds.
constexpr milliseconds first_start_timeout{250};
/// A target's clock may be slower than ours by this many percent.
constexpr int clock_drift_percent = 2;
/// Answers overtake each other by less than this.
constexpr milliseconds max_answer_delay{1000};
/// Margin for rounding when the expiry of a lease is computed.
constexpr milliseconds expiry_slack{100};

} // namespace

target_session::target_session(event_loop& loop, target_orders& orders, target_life life,
                               const order_authority& coordinator, milliseconds lease,
                               milliseconds longest_lease, callbacks notify)
    : orders(orders), life(std::move(life)), coordinator(coordinator), lease(lease),
      longest_lease(longest_lease), notify(std::move(notify)),
      poll_timer(loop, [this] { this->poll(); })
{
}

target_session::~target_session()
{
    *this->alive = false;
}

void target_session::start_polling()
{
    this->poll();
}

void target_session::probe()
{
    this->probing = true;
    this->poll();
}

void target_session::set_polling(bool wanted, bool urgent)
{
    this->polling_wanted = wanted;
    this->polling_urgent = urgent;
    if (wanted && !this->poll_in_progress && !this->waiting_for_stored_end &&
        !this->poll_timer.active())
        this->schedule_poll(milliseconds(0));
}

void target_session::acknowledge_ends(std::int64_t number, bool all)
{
    this->acknowledged_up_to = std::max(this->acknowledged_up_to, number);
    if (!all)
        return;
    this->waiting_for_stored_end = false;
    // The next poll carries the acknowledgement; it is sent even if nothing runs there.
    if (!this->poll_in_progress)
        this->schedule_poll(milliseconds(0));
}

void target_session::wait_for_stored_end()
{
    this->waiting_for_stored_end = true;
}

order_authority target_session::issue_authority()
{
    // The lease of a target that does not answer isn't renewed, so that it expires at the time
    // known here.
    return this->can_grant_lease() ? this->grant_lease() : this->coordinator;
}

void target_session::assume_lease(milliseconds length)
{
    this->lease_expires_at =
        std::max(this->lease_expires_at,
                 boot_time() + longest_duration(std::min(length, this->longest_lease)));
}

milliseconds target_session::longest_duration(milliseconds lease)
{
    return lease * (100 + clock_drift_percent) / 100 + expiry_slack;
}

milliseconds target_session::next_life_lease_expiry(milliseconds kept_until) const
{
    if (this->last_grant_at.count() == 0)
        return milliseconds(0);
    return std::max(this->last_grant_at + late_execution_limit, kept_until) +
           longest_duration(this->longest_lease);
}

order_authority target_session::grant_lease()
{
    const auto since_clock_read = boot_time() - this->clock_at;
    // A slow clock may be this much behind; half of the lease is left until the clock is read
    // again.
    const auto drift = since_clock_read * clock_drift_percent / 100;
    const auto length = std::max(this->lease - drift, this->lease / 2);
    this->assume_lease(length + drift);
    this->last_grant_at = boot_time();
    auto authority = this->coordinator;
    authority.lease_until_ms = this->clock_ms + (since_clock_read + length).count();
    return authority;
}

void target_session::start(const start_order& order, target_orders::order_callback done)
{
    this->send_start(order, this->issue_authority(), first_start_timeout, std::move(done));
}

void target_session::repeat_start(const start_order& order, target_orders::order_callback done)
{
    this->send_start(order, this->grant_lease(), order_timeout, std::move(done));
}

void target_session::send_start(const start_order& order, const order_authority& authority,
                                milliseconds timeout, target_orders::order_callback done)
{
    this->orders.start(this->life, authority, order, timeout,
                       [this, alive = this->alive, done = std::move(done)](order_result result) {
                           if (!*alive)
                               return;
                           this->apply_answer(result);
                           if (*alive)
                               done(result);
                       });
}

void target_session::stop(const task_name& task, std::int64_t run,
                          target_orders::order_callback done)
{
    this->orders.stop(this->life, this->coordinator, task, run, order_timeout,
                      [this, alive = this->alive, done = std::move(done)](order_result result) {
                          if (!*alive)
                              return;
                          this->apply_answer(result);
                          if (*alive)
                              done(result);
                      });
}

void target_session::schedule_poll(milliseconds wait)
{
    this->poll_timer.start_once(wait);
}

void target_session::poll()
{
    if (this->poll_in_progress)
        return;
    this->poll_in_progress = true;
    const bool wait_for_end = !std::exchange(this->probing, false) && this->has_been_polled &&
                              this->missed_answers == 0 && !this->waiting_for_stored_end;
    const auto longest_wait = this->polling_urgent ? urgent_poll_wait : poll_wait;
    const auto wait = wait_for_end ? longest_wait : milliseconds(0);
    const auto timeout =
        wait + (this->polling_urgent && wait_for_end ? urgent_answer_timeout : answer_timeout);
    const auto sent = boot_time();
    const auto acknowledged = this->due_acknowledgement();
    this->orders.poll(this->life, this->issue_authority(), acknowledged, wait, timeout,
                      [this, alive = this->alive, sent, acknowledged](target_view view) {
                          if (!*alive)
                              return;
                          if (view.result.how == order_result::outcome::done)
                              this->confirmed_up_to = std::max(this->confirmed_up_to, acknowledged);
                          this->apply_poll_result(view, sent);
                      });
}

std::int64_t target_session::due_acknowledgement() const
{
    return this->missed_answers == 0 && this->acknowledged_up_to > this->confirmed_up_to
               ? this->acknowledged_up_to
               : 0;
}

void target_session::apply_poll_result(const target_view& view, milliseconds sent)
{
    this->poll_in_progress = false;
    const auto session_alive = this->alive;
    this->apply_answer(view.result);
    if (!*session_alive)
        return;
    if (view.result.how != order_result::outcome::done) {
        // A single poll may have been lost.
        this->schedule_poll(this->missed_answers == 1 ? milliseconds(0) : retry_wait);
        return;
    }
    if (!this->has_been_polled)
        this->assume_lease(this->longest_lease);
    this->has_been_polled = true;
    this->polled_at = sent;
    this->notify.poll_answered(view, sent);
    if (!*session_alive || this->poll_in_progress || this->poll_timer.active())
        return;
    if (this->waiting_for_stored_end)
        this->schedule_poll(max_store_wait);
    else if (this->polling_wanted || this->probing || this->due_acknowledgement() != 0)
        this->schedule_poll(milliseconds(0));
}

void target_session::apply_clock(const order_result& result)
{
    if (result.clock_ms == 0)
        return;
    // Orders name only the target, so that a later life may execute them before a poll shows it.
    if (result.clock_ms + max_answer_delay.count() < this->clock_ms)
        this->later_life_answers = true;
    this->clock_ms = result.clock_ms;
    this->clock_at = boot_time();
}

void target_session::apply_answer(const order_result& result)
{
    if (result.how == order_result::outcome::unknown) {
        this->record_missed_answer();
        return;
    }
    this->apply_clock(result);
    if (result.how != order_result::outcome::target_restarted && !this->later_life_answers)
        this->answered_at = boot_time();
    const bool back = this->missed_answers > 0;
    this->missed_answers = 0;
    const auto session_alive = this->alive;
    if (back)
        this->notify.reachability_changed(true);
    if (!*session_alive)
        return;
    if (result.how == order_result::outcome::fenced)
        this->notify.fenced();
    else if (result.how == order_result::outcome::target_restarted)
        this->notify.restarted();
}

void target_session::record_missed_answer()
{
    // Only an answer shows that the target is back, so it is polled even if nothing runs there.
    if (!this->poll_in_progress && !this->poll_timer.active())
        this->schedule_poll(retry_wait);
    if (++this->missed_answers == 1)
        this->notify.reachability_changed(false);
}

} // namespace verbenalever
