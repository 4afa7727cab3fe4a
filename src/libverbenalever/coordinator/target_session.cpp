#include "coordinator/target_session.h"

#include "loop/event_loop.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// How long a look waits at the target for an end: well inside the lease that it renews.
constexpr milliseconds look_wait{1000};
/// Time for an answer beyond what the target itself waits.
constexpr milliseconds answer_time{600};
/// Wait before a target that did not answer is asked again.
constexpr milliseconds retry_wait{300};
/// Longest wait for an end to be recorded before the lease is renewed all the same.
constexpr milliseconds record_wait{400};
/// Time for an answer to an order.
constexpr milliseconds order_time{500};
/// A target's clock may be this much slower than ours, in parts of a hundred.
constexpr int clock_drift_percent = 2;
/// Slack for rounding when the end of a lease is computed.
constexpr milliseconds lapse_slack{100};

} // namespace

target_session::target_session(event_loop& loop, target_orders& orders, target_life life,
                               std::int64_t fencing_token, milliseconds lease, callbacks notify)
    : orders(orders), life(std::move(life)), fencing_token(fencing_token), lease(lease),
      notify(std::move(notify)), look_timer(loop, [this] { this->look(); })
{
}

target_session::~target_session()
{
    *this->alive = false;
}

void target_session::begin()
{
    this->look();
}

void target_session::want_looks(bool wanted)
{
    this->looks_wanted = wanted;
    if (wanted && !this->looking && !this->waiting_for_record && !this->look_timer.active())
        this->schedule_look(milliseconds(0));
}

void target_session::acknowledge(std::int64_t number, bool all)
{
    this->acknowledged = std::max(this->acknowledged, number);
    if (!all)
        return;
    this->waiting_for_record = false;
    // The next look carries it; one is made even if nothing else runs there.
    if (!this->looking)
        this->schedule_look(milliseconds(0));
}

void target_session::expect_acknowledgement()
{
    this->waiting_for_record = true;
}

order_authority target_session::authority()
{
    order_authority result{.fencing_token = this->fencing_token};
    // A target that does not answer is told of no later end, so that the one it knows does come.
    if (!this->may_start())
        return result;
    const auto now = boot_time();
    result.lease_until_ms = this->clock_ms + (now - this->clock_at + this->lease).count();
    this->lapses_at = std::max(this->lapses_at,
                               now + this->lease * (100 + clock_drift_percent) / 100 + lapse_slack);
    return result;
}

void target_session::start(const start_order& order, target_orders::order_callback done)
{
    this->orders.start(this->life, this->authority(), order, order_time,
                       [this, alive = this->alive, done = std::move(done)](order_result result) {
                           if (!*alive)
                               return;
                           this->note_answer(result);
                           if (*alive)
                               done(result);
                       });
}

void target_session::stop(const task_name& task, std::int64_t run,
                          target_orders::order_callback done)
{
    this->orders.stop(this->life, {.fencing_token = this->fencing_token}, task, run, order_time,
                      [this, alive = this->alive, done = std::move(done)](order_result result) {
                          if (!*alive)
                              return;
                          this->note_answer(result);
                          if (*alive)
                              done(result);
                      });
}

void target_session::schedule_look(milliseconds wait)
{
    this->look_timer.start_once(wait);
}

void target_session::look()
{
    if (this->looking)
        return;
    this->looking = true;
    const bool patient = this->seen && this->misses == 0 && !this->waiting_for_record;
    const auto wait = patient ? look_wait : milliseconds(0);
    const auto sent = boot_time();
    this->orders.poll(this->life, this->authority(), this->acknowledged, wait, wait + answer_time,
                      [this, alive = this->alive, sent](target_view view) {
                          if (*alive)
                              this->take_view(view, sent);
                      });
}

void target_session::take_view(const target_view& view, milliseconds sent)
{
    this->looking = false;
    const auto still_here = this->alive;
    this->note_answer(view.result);
    if (!*still_here)
        return;
    if (view.result.how != order_result::outcome::done) {
        this->schedule_look(retry_wait);
        return;
    }
    this->seen = true;
    this->notify.viewed(view, sent);
    if (!*still_here || this->looking || this->look_timer.active())
        return;
    if (this->waiting_for_record)
        this->schedule_look(record_wait);
    else if (this->looks_wanted)
        this->schedule_look(milliseconds(0));
}

void target_session::take_clock(const order_result& result)
{
    if (result.clock_ms == 0)
        return;
    this->clock_ms = result.clock_ms;
    this->clock_at = boot_time();
}

void target_session::note_answer(const order_result& result)
{
    if (result.how == order_result::outcome::unknown) {
        this->miss();
        return;
    }
    this->take_clock(result);
    const bool back = this->misses > 0;
    this->misses = 0;
    const auto still_here = this->alive;
    if (back)
        this->notify.reached(true);
    if (!*still_here)
        return;
    if (result.how == order_result::outcome::fenced)
        this->notify.fenced();
    else if (result.how == order_result::outcome::target_restarted)
        this->notify.reborn();
}

void target_session::miss()
{
    if (++this->misses == 1)
        this->notify.reached(false);
}

} // namespace verbenalever
