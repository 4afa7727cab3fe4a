#include "coordination/leadership.h"

#include "coordination/commit_chain.h"
#include "loop/unique_id.h"
#include "membership/message_codec.h"
#include "ports/metadata_store.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace verbenalever {

namespace {

/// A quarter of the lease, so that three renewals may be lost.
constexpr milliseconds renewal_interval{300};
/// Longest time that one watch waits at the store; a silent connection costs at most this much.
constexpr milliseconds watch_wait{1500};
/// The same while the coordinator is heard: its silence has the store asked at once.
constexpr milliseconds relaxed_wait{6000};
/// Wait before a read or a watch that failed is tried again.
constexpr milliseconds retry_wait{250};
/// Candidates stand at random moments within this time, so that mostly one does.
constexpr int stand_spread_ms = 80;
/// A coordinator that is still heard gets this long to write its key again before others stand.
constexpr milliseconds regain_time{800};

milliseconds random_spread()
{
    static std::mt19937 generator{std::random_device{}()};
    return milliseconds(std::uniform_int_distribution<int>(0, stand_spread_ms)(generator));
}

} // namespace

leadership::leadership(event_loop& loop, metadata_store& store, const event_log& log,
                       std::string prefix, coordinator_record self, callbacks notify)
    : loop(loop), store(store), log(log), leader_key(prefix + "leader"),
      fence_key(prefix + "fence"), self(std::move(self)), notify(std::move(notify)),
      watch_timer(loop, [this] { this->watched_revision == 0 ? this->read() : this->watch(); }),
      stand_timer(loop, [this] { this->stand(); }), renew_timer(loop, [this] { this->renew(); }),
      former_timer(loop, [this] { this->read(); })
{
}

leadership::~leadership()
{
    *this->alive = false;
}

void leadership::start()
{
    this->read();
}

milliseconds leadership::unconfirmed_for() const
{
    if (!this->leads())
        return milliseconds::max();
    return boot_time() - std::max(this->renewed, this->chain->confirmed_at());
}

bool leadership::certain() const
{
    return this->unconfirmed_for() < lease_time;
}

void leadership::read()
{
    this->store.list(this->leader_key, {}, [this, alive = this->alive](auto page) {
        if (!*alive)
            return;
        this->last_answered = page.ok();
        if (!page.ok()) {
            this->watch_timer.start_once(retry_wait);
            return;
        }
        this->watched_revision = page->revision;
        store_item found{.key = this->leader_key, .value = {}, .revision = 0, .removed = true};
        if (!page->items.empty())
            found = page->items.front();
        this->take(found);
        if (!this->watching)
            this->watch();
    });
}

void leadership::watch()
{
    this->watching = true;
    const auto wait = this->notify.coordinator_heard() ? relaxed_wait : watch_wait;
    this->store.watch(
        this->leader_key, this->watched_revision, wait,
        [this, alive = this->alive, round = this->round](auto changes) {
            if (!*alive || round != this->round)
                return;
            this->watching = false;
            this->last_answered = changes.ok() || absl::IsOutOfRange(changes.status());
            if (!changes.ok()) {
                // After a gap in the history only a fresh read tells the present.
                this->watched_revision = 0;
                this->watch_timer.start_once(absl::IsOutOfRange(changes.status()) ? milliseconds(0)
                                                                                  : retry_wait);
                return;
            }
            this->watched_revision = changes->revision;
            if (!changes->items.empty())
                this->take(changes->items.back());
            this->watch();
        });
}

void leadership::refresh()
{
    ++this->round;
    this->watching = false;
    this->watch_timer.stop();
    this->read();
}

void leadership::take(const store_item& item)
{
    std::optional<coordinator_record> now;
    if (!item.removed) {
        if (auto record = unpack_message<coordinator_record>(item.value); record.ok())
            now = *std::move(record);
        else
            this->log.write("coordination", "leader_record_unreadable", {{"key", item.key}});
    }
    if (this->leads()) {
        if (now && now->tenure != this->tenure)
            this->step_down("another process is coordinator");
        else if (!now)
            this->regain();
        if (this->leads())
            return;
    }
    // What the store still has of a coordinator that is gone is no news.
    if (now && this->replaced != 0 && item.revision == this->replaced)
        return;
    this->replaced = 0;
    this->known = now;
    this->known_revision = item.revision;
    this->notify.changed(now);
    if (now) {
        this->stand_timer.stop();
        // The key names this very VM, and this process does not coordinate: a process before it
        // did.
        if (now->vm == this->self.vm && now->address == this->self.address)
            this->replace_coordinator();
        return;
    }
    // A coordinator that is alive takes its key back by itself once it can.
    this->stand_after(random_spread() +
                      (this->notify.coordinator_heard() ? regain_time : milliseconds(0)));
}

void leadership::replace_coordinator()
{
    if (this->retired || this->leads() || !this->known || this->known_revision == 0)
        return;
    this->log.write("coordination", "coordinator_gone", {{"tenure", this->known->tenure}});
    this->replaced = this->known_revision;
    this->known.reset();
    this->stand_after(random_spread());
}

void leadership::stand_after(milliseconds wait)
{
    if (!this->retired && !this->standing && !this->leads())
        this->stand_timer.start_once(
            std::max(wait + this->notify.courtesy(), this->resting_until - boot_time()));
}

void leadership::stand()
{
    if (this->retired || this->standing || this->leads() || this->known)
        return;
    this->standing = true;
    this->store.grant_lease(lease_time, [this, alive = this->alive](auto granted) {
        if (!*alive)
            return;
        if (granted.ok()) {
            this->claim(*granted);
            return;
        }
        this->standing = false;
        this->stand_after(retry_wait + random_spread());
    });
}

void leadership::claim(std::int64_t lease)
{
    if (this->known || this->retired) {
        this->standing = false;
        return;
    }
    auto record = this->self;
    record.tenure = fmt::format("{}-{}-{}", this->self.vm, random_hex(4), ++this->tenures);
    store_transaction change;
    change.conditions.push_back({this->leader_key, this->replaced});
    change.writes.push_back({this->leader_key, pack_message(record), lease});
    change.writes.push_back({this->fence_key, record.tenure, 0});
    this->renewed = boot_time();
    this->store.transact(std::move(change), [this, alive = this->alive, lease,
                                             tenure = record.tenure](store_result result) {
        if (*alive)
            this->judge_claim(lease, tenure, result);
    });
}

void leadership::judge_claim(std::int64_t lease, const std::string& tenure,
                             const store_result& result)
{
    if (result.how == store_result::outcome::committed) {
        this->tenure = tenure;
        this->win(lease, result.revision);
        return;
    }
    if (result.how != store_result::outcome::unknown) {
        this->standing = false;
        for (const auto& item : result.current) {
            if (item.key != this->leader_key)
                continue;
            if (item.revision != 0)
                this->take(item);
            else
                this->replaced = 0; // its lease has ended meanwhile
        }
        if (this->known)
            return;
        this->stand_after(retry_wait + random_spread());
        return;
    }
    this->store.read(this->leader_key, [this, alive = this->alive, lease, tenure](auto item) {
        if (!*alive)
            return;
        if (!item.ok()) {
            this->judge_claim(lease, tenure, {.how = store_result::outcome::rejected});
            return;
        }
        if (*item) {
            const auto record = unpack_message<coordinator_record>((*item)->value);
            if (record.ok() && record->tenure == tenure) {
                this->tenure = tenure;
                this->win(lease, (*item)->revision);
                return;
            }
        }
        this->judge_claim(lease, tenure, {.how = store_result::outcome::rejected});
    });
}

void leadership::win(std::int64_t lease, std::int64_t term)
{
    this->standing = false;
    this->replaced = 0;
    this->lease = lease;
    this->chain = std::make_unique<commit_chain>(
        this->loop, this->store, this->log, this->fence_key, this->tenure, term,
        [this] { this->step_down("another process holds the fence"); });
    this->renew_timer.start_repeating(renewal_interval);
    this->log.write("coordination", "leadership_won", {{"term", term}, {"tenure", this->tenure}});
    auto record = this->self;
    record.tenure = this->tenure;
    this->known = record;
    this->notify.won(term, *this->chain);
    this->notify.changed(this->known);
}

void leadership::renew()
{
    if (!this->leads())
        return;
    const auto sent = boot_time();
    this->store.renew_lease(this->lease,
                            [this, alive = this->alive, sent, tenure = this->tenure](auto status) {
                                if (!*alive)
                                    return;
                                if (!this->leads() || tenure != this->tenure)
                                    return;
                                if (status.ok() || absl::IsNotFound(status))
                                    this->chain->store_answers();
                                if (status.ok())
                                    this->renewed = std::max(this->renewed, sent);
                                else if (absl::IsNotFound(status))
                                    this->regain();
                            });
}

void leadership::regain()
{
    if (this->regaining)
        return;
    this->regaining = true;
    this->log.write("coordination", "lease_ended", {{"tenure", this->tenure}});
    this->store.grant_lease(
        lease_time, [this, alive = this->alive, tenure = this->tenure](auto granted) {
            if (!*alive)
                return;
            this->regaining = false;
            if (!granted.ok() || !this->leads() || tenure != this->tenure)
                return;
            this->lease = *granted;
            auto record = this->self;
            record.tenure = this->tenure;
            // The chain's condition proves that nobody has taken over meanwhile.
            this->chain->put(
                this->leader_key, [record] { return pack_message(record); }, true,
                [this] { this->log.write("coordination", "lease_regained", {}); }, *granted);
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
    this->stand_timer.stop();
    this->hand_over(milliseconds(0));
}

void leadership::hand_over(milliseconds rest)
{
    this->resting_until = boot_time() + rest;
    if (!this->leads())
        return;
    this->chain->put_first(
        this->leader_key, [] { return std::nullopt; }, [this] { this->step_down("handed over"); });
}

void leadership::step_down(std::string_view reason)
{
    this->log.write("coordination", "leadership_lost",
                    {{"tenure", this->tenure}, {"reason", reason}});
    this->renew_timer.stop();
    // The chain may be what is calling, and the duty that writes through it ends a little later.
    this->chain->close();
    this->former_chain = std::move(this->chain);
    this->former_timer.start_once(milliseconds(0));
    this->known.reset();
    this->notify.lost();
    this->notify.changed(std::nullopt);
}

} // namespace verbenalever
