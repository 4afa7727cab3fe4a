#include "coordination/leadership.h"

#include "coordination/commit_chain.h"
#include "membership/message_codec.h"
#include "ports/metadata_store.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <utility>

namespace verbenalever {

namespace {

/// A quarter of the lease, so that it does not expire when up to three renewals are lost.
constexpr milliseconds renewal_interval{300};
/// How long one watch call may wait for a change. A dead connection to the store delays the news of
/// a change by at most this long.
constexpr milliseconds watch_wait{1500};
/// The same while the connection to the coordinator is alive: when that is lost, the leader key is
/// read again at once.
constexpr milliseconds watch_wait_while_heard{6000};
/// Wait before a failed read or watch is retried.
constexpr milliseconds retry_wait{250};
/// A process that handed over leaves at least this long to a successor; longer than weak VMs wait.
constexpr milliseconds successor_wait{2000};
/// A call answered within this time shows that the store can be reached.
constexpr milliseconds answer_age_limit{1000};

} // namespace

leadership::leadership(event_loop& loop, metadata_store& store, const event_log& log,
                       std::string prefix, coordinator_record self, callbacks notify,
                       double link_mbps)
    : loop(loop), store(store), log(log), leader_key(prefix + "leader"),
      fence_key(prefix + "fence"), self(std::move(self)), notify(std::move(notify)),
      link_mbps(link_mbps),
      watch_retry_timer(
          loop, [this] { this->watched_revision == 0 ? this->read_coordinator() : this->watch(); }),
      candidacy_timer(loop, [this] { this->start_candidacy(); }),
      renew_timer(loop, [this] { this->renew(); }),
      reread_timer(loop, [this] { this->read_coordinator(); })
{
}

leadership::~leadership()
{
    *this->alive = false;
}

void leadership::start()
{
    this->read_coordinator();
}

milliseconds leadership::time_since_confirmed() const
{
    // While the lease is being ended another process may already have been elected.
    if (!this->leads() || this->ending_lease)
        return milliseconds::max();
    return boot_time() - std::max(this->last_renewal, this->chain->confirmed_at());
}

bool leadership::is_lease_valid() const
{
    return this->time_since_confirmed() < lease_time;
}

void leadership::read_coordinator()
{
    this->store.list(this->leader_key, {}, [this, alive = this->alive](auto page) {
        if (!*alive)
            return;
        this->last_read_answered = page.ok();
        if (!page.ok()) {
            this->watch_retry_timer.start_once(retry_wait);
            return;
        }
        this->watched_revision = page->revision;
        store_item found{.key = this->leader_key, .value = {}, .revision = 0, .removed = true};
        if (!page->items.empty())
            found = page->items.front();
        this->apply_record(found);
        if (!this->watch_pending)
            this->watch();
    });
}

void leadership::watch()
{
    this->watch_pending = true;
    const auto wait = this->notify.coordinator_heard() ? watch_wait_while_heard : watch_wait;
    this->store.watch(
        this->leader_key, this->watched_revision, wait,
        [this, alive = this->alive, round = this->watch_round](auto changes) {
            if (!*alive || round != this->watch_round)
                return;
            this->watch_pending = false;
            this->last_read_answered = changes.ok() || absl::IsOutOfRange(changes.status());
            if (!changes.ok()) {
                // OUT_OF_RANGE: the store no longer has the history since watched_revision, so the
                // current state has to be read.
                this->watched_revision = 0;
                this->watch_retry_timer.start_once(
                    absl::IsOutOfRange(changes.status()) ? milliseconds(0) : retry_wait);
                return;
            }
            this->watched_revision = changes->revision;
            if (!changes->items.empty())
                this->apply_record(changes->items.back());
            this->watch();
        });
}

void leadership::reload_coordinator()
{
    ++this->watch_round;
    this->watch_pending = false;
    this->watch_retry_timer.stop();
    this->read_coordinator();
}

void leadership::become_coordinator(std::int64_t lease, std::int64_t term)
{
    this->candidacy_pending = false;
    this->replaced_revision = 0;
    this->replaced_fence_revision = 0;
    this->suspected.reset();
    if (this->retired) {
        // The process retired while its claim was in flight. Others must not wait for the lease.
        this->log.write("coordination", "claim_returned", {{"term", term}});
        this->end_lease(lease, [] {});
        return;
    }
    this->ending_lease = false;
    this->last_renewal_answer = boot_time();
    this->lease = lease;
    this->key_lease = lease;
    this->chain = std::make_unique<commit_chain>(
        this->loop, this->store, this->log, this->fence_key, this->tenure, term,
        [this] { this->step_down("another process holds the fence"); }, this->link_mbps);
    this->renew_timer.start_repeating(renewal_interval);
    this->log.write("coordination", "leadership_won", {{"term", term}, {"tenure", this->tenure}});
    auto record = this->self;
    record.tenure = this->tenure;
    this->known_coordinator = record;
    this->notify.won(term, *this->chain);
    this->notify.coordinator_changed(this->known_coordinator);
}

void leadership::renew()
{
    if (!this->leads())
        return;
    const auto sent = boot_time();
    this->store.renew_lease(this->lease, [this, alive = this->alive, sent, lease = this->lease,
                                          tenure = this->tenure](auto status) {
        if (!*alive)
            return;
        if (!this->leads() || tenure != this->tenure)
            return;
        if (status.ok() || absl::IsNotFound(status)) {
            this->last_renewal_answer = boot_time();
            this->chain->resend_if_stalled(sent);
        }
        // A lease says who coordinates only while the key is under it.
        if (status.ok() && this->key_lease == lease)
            this->last_renewal = std::max(this->last_renewal, sent);
        else if (absl::IsNotFound(status))
            this->restore_key();
    });
}

void leadership::restore_key()
{
    if (this->restoring_key || this->ending_lease)
        return;
    this->restoring_key = true;
    this->log.write("coordination", "lease_ended", {{"tenure", this->tenure}});
    this->store.grant_lease(
        lease_time, [this, alive = this->alive, tenure = this->tenure](auto granted) {
            if (!*alive)
                return;
            this->restoring_key = false;
            if (!granted.ok() || !this->leads() || tenure != this->tenure || this->ending_lease)
                return;
            this->lease = *granted;
            auto record = this->self;
            record.tenure = this->tenure;
            // The fence condition of the chain makes this fail if another process has won since.
            this->chain->put(
                this->leader_key, [record] { return pack_message(record); }, true,
                [this, lease = *granted] {
                    this->key_lease = lease;
                    this->log.write("coordination", "lease_regained", {});
                },
                *granted);
        });
}

void leadership::abdicate(std::string_view reason)
{
    if (this->leads())
        this->step_down(reason);
}

void leadership::retire()
{
    this->retired = true;
    this->candidacy_timer.stop();
    this->hand_over(milliseconds(0));
}

void leadership::hand_over(milliseconds pause)
{
    this->pause_end = boot_time() + pause;
    this->no_candidacy_before = boot_time() + std::min(pause, successor_wait);
    if (!this->leads() || this->ending_lease)
        return;
    this->ending_lease = true;
    this->renew_timer.stop();
    // A key that is being restored may already be under the newer lease.
    if (this->lease != this->key_lease)
        this->end_lease(this->lease, [] {});
    this->end_lease(this->key_lease, [this, tenure = this->tenure] {
        if (this->leads() && tenure == this->tenure)
            this->step_down("handed over");
    });
}

void leadership::end_lease(std::int64_t ended, std::function<void()> done)
{
    this->store.revoke_lease(
        ended, [this, alive = this->alive, done = std::move(done)](const absl::Status& status) {
            if (!*alive)
                return;
            // It expires within lease_time, since it is not renewed any more.
            if (!status.ok() && !absl::IsNotFound(status))
                this->log.write("coordination", "lease_end_unanswered",
                                {{"reason", std::string(status.message())}});
            done();
        });
}

bool leadership::accepts_hand_over() const
{
    return !this->retired && boot_time() >= this->pause_end;
}

bool leadership::renewals_answered() const
{
    return this->leads() && boot_time() - this->last_renewal_answer < answer_age_limit;
}

void leadership::check_store()
{
    if (std::exchange(this->check_pending, true))
        return;
    this->store.read(this->fence_key, [this, alive = this->alive](const auto& fence) {
        if (!*alive)
            return;
        this->check_pending = false;
        this->last_read_answered = fence.ok();
        if (fence.ok())
            this->last_check_answer = boot_time();
    });
}

bool leadership::store_checked() const
{
    return this->last_check_answer.count() != 0 &&
           boot_time() - this->last_check_answer < answer_age_limit;
}

milliseconds leadership::time_without_answer() const
{
    return this->leads() ? this->chain->time_without_answer() : milliseconds(0);
}

void leadership::step_down(std::string_view reason)
{
    this->log.write("coordination", "leadership_lost",
                    {{"tenure", this->tenure}, {"reason", reason}});
    this->renew_timer.stop();
    this->ending_lease = false;
    // The chain may be the caller, and the coordinator object that writes through it is destroyed
    // later, so it is kept alive.
    this->chain->close();
    this->former_chain = std::move(this->chain);
    this->reread_timer.start_once(milliseconds(0));
    this->known_coordinator.reset();
    this->notify.lost();
    this->notify.coordinator_changed(std::nullopt);
}

} // namespace verbenalever
