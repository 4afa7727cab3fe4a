// Candidacies: what shows that a coordinator has ended, and claims of the leader key.

#include "coordination/commit_chain.h"
#include "coordination/leadership.h"
#include "loop/unique_id.h"
#include "membership/message_codec.h"
#include "ports/metadata_store.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace verbenalever {

namespace {

/// Wait before a failed candidacy is repeated.
constexpr milliseconds retry_wait{250};
/// Candidates wait a random part of this time, so that they rarely write the leader key together.
constexpr int candidacy_jitter_ms = 80;
/// How long others wait for a coordinator whose key is gone, but whose connection is alive, to
/// restore the key before they become candidates.
constexpr milliseconds key_restore_time{800};
/// A process that handed over becomes a candidate this much later than others until its pause has
/// ended.
constexpr milliseconds paused_candidacy_delay{400};
/// A suspicion that no further refused connection confirms within this time starts again. Refused
/// connections are repeated several times in it.
constexpr milliseconds suspicion_age_limit{1000};

milliseconds random_jitter()
{
    static std::mt19937 generator{std::random_device{}()};
    return milliseconds(std::uniform_int_distribution<int>(0, candidacy_jitter_ms)(generator));
}

} // namespace

void leadership::apply_record(const store_item& item)
{
    std::optional<coordinator_record> stored_record;
    if (!item.removed) {
        if (auto record = unpack_message<coordinator_record>(item.value); record.ok())
            stored_record = *std::move(record);
        else
            this->log.write("coordination", "leader_record_unreadable", {{"key", item.key}});
    }
    if (this->leads()) {
        if (stored_record && stored_record->tenure != this->tenure)
            this->step_down("another process is coordinator");
        else if (!stored_record)
            this->restore_key();
        if (this->leads())
            return;
    }
    // The key of the terminated coordinator that this process is about to replace.
    if (stored_record && this->replaced_revision != 0 && item.revision == this->replaced_revision)
        return;
    this->replaced_revision = 0;
    this->replaced_fence_revision = 0;
    this->known_coordinator = stored_record;
    this->known_revision = item.revision;
    this->notify.coordinator_changed(stored_record);
    if (stored_record) {
        this->candidacy_timer.stop();
        if (stored_record->vm != this->self.vm)
            this->no_candidacy_before = milliseconds(0); // the successor
        // The key names this VM and address although this process is not coordinator: an earlier
        // process here wrote it and has terminated.
        if (stored_record->vm == this->self.vm && stored_record->address == this->self.address)
            this->replace_coordinator(coordinator_loss::process_replaced);
        return;
    }
    // A coordinator that is still alive restores its key as soon as it reaches the store.
    this->schedule_candidacy(
        random_jitter() + (this->notify.coordinator_heard() ? key_restore_time : milliseconds(0)));
}

void leadership::replace_coordinator(coordinator_loss loss)
{
    if (this->retired || this->leads() || !this->known_coordinator || this->known_revision == 0)
        return;
    if (loss == coordinator_loss::connection_refused) {
        if (!this->suspected || this->suspected->leader_revision != this->known_revision ||
            boot_time() - this->suspected->began > suspicion_age_limit) {
            this->start_suspicion();
            return;
        }
        if (this->suspected->fence_revision == 0)
            return; // the store has not answered since the first refused connection
        this->replaced_fence_revision = this->suspected->fence_revision;
    }
    this->suspected.reset();
    this->log.write(
        "coordination", "coordinator_gone",
        {{"tenure", this->known_coordinator->tenure},
         {"evidence", loss == coordinator_loss::connection_refused ? "connection_refused"
                                                                   : "process_replaced"}});
    this->replaced_revision = this->known_revision;
    this->known_coordinator.reset();
    this->schedule_candidacy(random_jitter());
}

void leadership::start_suspicion()
{
    this->suspected = suspicion{.leader_revision = this->known_revision, .began = boot_time()};
    this->store.read(this->fence_key,
                     [this, alive = this->alive, began = this->suspected->began](auto fence) {
                         if (!*alive || !this->suspected || this->suspected->began != began)
                             return;
                         if (fence.ok() && *fence)
                             this->suspected->fence_revision = (*fence)->revision;
                         else
                             this->suspected.reset();
                     });
}

void leadership::confirm_coordinator()
{
    this->suspected.reset();
    if (!this->leads() && this->replaced_revision != 0)
        this->cancel_replacement("coordinator_heard");
}

void leadership::cancel_replacement(std::string_view reason)
{
    this->log.write("coordination", "replacement_cancelled", {{"reason", reason}});
    this->replaced_revision = 0;
    this->replaced_fence_revision = 0;
    ++this->candidacy_round;
    this->candidacy_timer.stop();
    this->reload_coordinator();
}

void leadership::schedule_candidacy(milliseconds wait)
{
    if (this->retired || this->candidacy_pending || this->leads())
        return;
    const auto now = boot_time();
    wait += this->notify.candidacy_delay();
    if (now < this->pause_end)
        wait += paused_candidacy_delay;
    const auto due = std::max(now + wait, this->no_candidacy_before);
    // The leader key may be read often while there is none.
    if (this->candidacy_timer.active() && this->candidacy_due <= due)
        return;
    this->candidacy_due = due;
    this->candidacy_timer.start_once(due - now);
}

void leadership::start_candidacy()
{
    if (this->retired || this->candidacy_pending || this->leads() || this->known_coordinator)
        return;
    this->candidacy_pending = true;
    this->store.grant_lease(
        lease_time, [this, alive = this->alive, round = this->candidacy_round](auto granted) {
            if (!*alive)
                return;
            if (granted.ok() && round == this->candidacy_round) {
                this->write_claim(*granted);
                return;
            }
            this->candidacy_pending = false;
            if (this->replaced_revision != 0)
                // What was seen of the coordinator before the store is reached again proves
                // nothing then.
                this->cancel_replacement("store_away");
            else if (!this->known_coordinator)
                this->schedule_candidacy(retry_wait + random_jitter());
        });
}

void leadership::write_claim(std::int64_t lease)
{
    if (this->known_coordinator || this->retired) {
        this->candidacy_pending = false;
        return;
    }
    auto record = this->self;
    record.tenure = fmt::format("{}-{}-{}", this->self.vm, random_hex(4), ++this->tenure_count);
    store_transaction change;
    change.conditions.push_back({this->leader_key, this->replaced_revision});
    if (this->replaced_fence_revision != 0)
        change.conditions.push_back({this->fence_key, this->replaced_fence_revision});
    change.writes.push_back({this->leader_key, pack_message(record), lease});
    change.writes.push_back({this->fence_key, record.tenure, 0});
    this->last_renewal = boot_time();
    this->store.transact(std::move(change), [this, alive = this->alive, lease,
                                             tenure = record.tenure](store_result result) {
        if (*alive)
            this->finish_claim(lease, tenure, result);
    });
}

void leadership::finish_claim(std::int64_t lease, const std::string& tenure,
                              const store_result& result)
{
    if (result.how == store_result::outcome::committed) {
        this->tenure = tenure;
        this->become_coordinator(lease, result.revision);
        return;
    }
    if (result.how != store_result::outcome::unknown) {
        this->candidacy_pending = false;
        if (result.how == store_result::outcome::conflict)
            this->handle_conflict(result);
        else
            this->schedule_candidacy(retry_wait + random_jitter());
        return;
    }
    this->store.read(this->leader_key, [this, alive = this->alive, lease, tenure](auto item) {
        if (!*alive)
            return;
        if (!item.ok() && this->replaced_revision != 0) {
            this->candidacy_pending = false;
            this->cancel_replacement("store_away");
            return;
        }
        if (!item.ok()) {
            this->finish_claim(lease, tenure, {.how = store_result::outcome::rejected});
            return;
        }
        if (*item) {
            const auto record = unpack_message<coordinator_record>((*item)->value);
            if (record.ok() && record->tenure == tenure) {
                this->tenure = tenure;
                this->become_coordinator(lease, (*item)->revision);
                return;
            }
        }
        this->finish_claim(lease, tenure, {.how = store_result::outcome::rejected});
    });
}

void leadership::handle_conflict(const store_result& result)
{
    const auto leader = std::ranges::find(result.current, this->leader_key, &store_item::key);
    const auto fence = std::ranges::find(result.current, this->fence_key, &store_item::key);
    // The answer contains only keys that exist.
    if (leader == result.current.end() || leader->revision == 0) {
        this->replaced_revision = 0; // the key has expired
        this->replaced_fence_revision = 0;
        if (!this->known_coordinator)
            this->schedule_candidacy(random_jitter());
        return;
    }
    if (leader->revision == this->replaced_revision && fence != result.current.end() &&
        fence->revision != this->replaced_fence_revision) {
        this->cancel_replacement("coordinator_writes");
        return;
    }
    this->apply_record(*leader);
    if (!this->known_coordinator)
        this->schedule_candidacy(retry_wait + random_jitter());
}

} // namespace verbenalever
