#include "targets/lease_keeper.h"

#include "membership/peer_mesh.h"
#include "targets/inventory_keeper.h"
#include "targets/lease_offer.h"
#include "targets/target_arbiter.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <algorithm>
#include <memory>

namespace verbenalever {

namespace {

/// Taken off the end of each lease, against clocks that run at slightly different speeds.
constexpr milliseconds clock_margin{50};

/// How often targets are looked at for calls that are due; spreads the calls over time.
constexpr milliseconds tick_interval{50};

/// Wait after a refusal past the time that the other holder had left.
constexpr milliseconds refusal_margin{5};

/// A division stands this many heartbeats before a lease is given to the entry it names.
constexpr int settling_heartbeats = 3;

/// How long an entry keeps a target that the entry named for it cannot reach.
constexpr std::chrono::seconds keep_unreachable{60};

/// An unanswered call is given up in time for another one before the lease ends.
milliseconds answer_limit(const entry_settings& settings)
{
    return settings.target_lease / 4;
}

} // namespace

lease_keeper::lease_keeper(event_loop& loop, const entry_settings& settings, peer_mesh& mesh,
                           target_arbiter& arbiter, inventory_keeper& inventories,
                           target_registry& registry, counters& metrics, const event_log& log)
    : settings(settings), mesh(mesh), arbiter(arbiter), inventories(inventories),
      registry(registry), metrics(metrics), log(log), tick_timer(loop, [this] { this->tick(); })
{
    this->mesh.on<lease_offer>([this](const std::string& from, const lease_offer& message) {
        this->take_offer(from, message);
    });
}

void lease_keeper::start()
{
    this->tick_timer.start_repeating(tick_interval);
}

void lease_keeper::review()
{
    std::vector<std::string> targets;
    for (const auto& [name, target] : this->registry.all())
        targets.push_back(name);
    auto entries = this->mesh.live_in_zone();
    std::sort(entries.begin(), entries.end());
    if (!this->division.update(std::move(targets), std::move(entries)))
        return;
    this->division_since = monotonic_clock::now();
    this->metrics.add("target_divisions");
    std::erase_if(this->calls, [this](const auto& entry) {
        return !entry.second.in_flight && this->registry.find(entry.first) == nullptr;
    });
}

void lease_keeper::tick()
{
    this->review();
    const auto now = monotonic_clock::now();
    for (auto& [name, target] : this->registry.all()) {
        auto& call = this->calls[name];
        const bool due = call.due <= now || this->inventories.needs_newer_lease(target, now);
        if (!call.in_flight && due && this->wanted(target, call, now))
            this->ask(target, call);
        this->offer_unreachable(target, call, now);
    }
    this->inventories.tick(now);
    if (!this->moving_group && !this->stopping)
        this->move_misplaced_group();
}

bool lease_keeper::wanted(const target_record& target, const lease_call& call,
                          monotonic_time now) const
{
    if (call.give_back || this->stopped)
        return false;
    if (this->stopping)
        return target.held(now);
    return call.offered || target.held(now) ||
           this->division.named(target.vm.name) == this->settings.name;
}

void lease_keeper::ask(target_record& target, lease_call& call)
{
    const auto now = monotonic_clock::now();
    const bool settle_doubt = this->inventories.needs_newer_lease(target, now);
    const bool renewal = target.held(now) && !settle_doubt;
    if (settle_doubt)
        this->inventories.asked_newer_lease(target, now);
    call.in_flight = true;
    call.due = now + this->settings.target_lease_renewal;
    this->arbiter.acquire(
        target, renewal ? target.lease_epoch : 0, this->settings.target_lease,
        answer_limit(this->settings),
        [this, name = target.vm.name, asked = now](const absl::StatusOr<lease_answer>& answer) {
            this->answered(name, asked, answer);
        });
}

void lease_keeper::answered(const std::string& name, monotonic_time asked,
                            const absl::StatusOr<lease_answer>& answer)
{
    auto& call = this->calls[name];
    call.in_flight = false;
    auto* target = this->registry.find(name);
    if (target == nullptr) {
        if (const auto given_back = std::exchange(call.give_back, nullptr))
            given_back();
        return;
    }
    const auto now = monotonic_clock::now();
    if (answer.ok()) {
        call.unanswered_since = {};
        call.offers = 0;
    }
    if (!answer.ok()) {
        call.offered = false;
        if (call.unanswered_since == monotonic_time())
            call.unanswered_since = asked;
        if (absl::IsDeadlineExceeded(answer.status()))
            call.due = now;
    }
    else if (answer->granted) {
        this->granted(*target, answer->epoch, asked + this->settings.target_lease - clock_margin);
        call.offered = false;
    }
    else if (call.offered && call.offered_at > asked) {
        call.due = now; // the lease came free after this call was sent
    }
    else {
        if (answer->epoch > target->lease_epoch)
            target->lease_valid_until = {}; // another entry has it
        call.due = now + std::min<milliseconds>(answer->remaining + refusal_margin,
                                                this->settings.target_lease_renewal);
        call.offered = call.offered && answer->remaining < this->settings.target_lease_renewal;
    }
    if (call.give_back)
        this->release(*target);
}

void lease_keeper::granted(target_record& target, std::int64_t epoch, monotonic_time valid_until)
{
    // Another epoch is a newer lease even when it is smaller: one call is in flight at a time, and
    // a target that restarted counts from its own clock.
    const bool renewed = epoch == target.lease_epoch;
    target.lease_epoch = epoch;
    target.lease_valid_until = std::max(target.lease_valid_until, valid_until);
    if (!renewed) {
        target.inventory_known = false;
        this->log.write("targets", "lease_acquired",
                        {{"target", target.vm.name}, {"epoch", epoch}});
    }
    if (!target.inventory_known)
        this->inventories.read(target);
}

lease_keeper::group lease_keeper::misplaced_group(monotonic_time now) const
{
    for (const auto& [name, target] : this->registry.all()) {
        const auto named = this->division.named(name);
        if (!target.held(now) || named.empty() || named == this->settings.name)
            continue;
        auto targets = this->division.same_group(name);
        std::erase_if(targets, [this, now](const std::string& member) {
            const auto call = this->calls.find(member);
            return call != this->calls.end() && now < call->second.kept_until;
        });
        if (!targets.empty())
            return targets;
    }
    return {};
}

void lease_keeper::offer_unreachable(const target_record& target, lease_call& call,
                                     monotonic_time now)
{
    const auto& name = target.vm.name;
    if (this->stopping || target.held(now) || call.unanswered_since == monotonic_time() ||
        now - call.unanswered_since < this->settings.target_lease ||
        this->division.named(name) != this->settings.name)
        return;
    auto others = this->mesh.live_in_zone();
    std::erase(others, this->settings.name);
    call.unanswered_since = now;
    if (others.empty())
        return;
    this->metrics.add("targets_offered_as_unreachable");
    this->mesh.send(others[call.offers++ % others.size()],
                    lease_offer{.targets = {name}, .unreachable = true});
}

void lease_keeper::move_misplaced_group()
{
    const auto now = monotonic_clock::now();
    const auto settling = settling_heartbeats * this->settings.heartbeat_interval;
    if (now - this->division_since < settling)
        return;
    const auto targets = this->misplaced_group(now);
    if (targets.empty())
        return;
    this->moving_group = true;
    this->give_back_group(targets, [this] { this->moving_group = false; });
}

void lease_keeper::give_back_group(const group& targets, std::function<void()> done)
{
    const std::string to(this->division.named(targets.front()));
    auto waiting = std::make_shared<std::size_t>(1);
    const auto given_back = [this, waiting, to, targets, done = std::move(done)] {
        if (--*waiting > 0)
            return;
        this->mesh.send(to, lease_offer{.targets = targets});
        done();
    };
    for (const auto& name : targets) {
        auto* target = this->registry.find(name);
        if (target == nullptr || !target->held(monotonic_clock::now()))
            continue;
        ++*waiting;
        this->give_back(*target, given_back);
    }
    given_back();
}

void lease_keeper::give_back(target_record& target, std::function<void()> done)
{
    target.lease_valid_until = {};
    auto& call = this->calls[target.vm.name];
    call.offered = false;
    call.give_back = std::move(done);
    // A renewal on its way could take the lease again after its release: wait for its answer.
    if (!call.in_flight)
        this->release(target);
}

void lease_keeper::release(target_record& target)
{
    target.lease_valid_until = {};
    this->log.write("targets", "lease_released",
                    {{"target", target.vm.name}, {"epoch", target.lease_epoch}});
    auto given_back = std::exchange(this->calls[target.vm.name].give_back, nullptr);
    this->arbiter.release(target, target.lease_epoch,
                          [this, name = target.vm.name, given_back](const absl::Status&) {
                              auto& call = this->calls[name];
                              call.due = monotonic_clock::now() + this->settings.target_lease;
                              given_back();
                          });
}

void lease_keeper::hand_over(std::function<void()> done)
{
    this->stopping = true;
    this->stopped = std::move(done);
    this->review();
    this->give_back_next();
}

void lease_keeper::give_back_next()
{
    const auto now = monotonic_clock::now();
    for (const auto& [name, target] : this->registry.all()) {
        if (!target.held(now))
            continue;
        return this->give_back_group(this->division.same_group(name),
                                     [this] { this->give_back_next(); });
    }
    this->stopped();
}

void lease_keeper::take_offer(const std::string& from, const lease_offer& offer)
{
    if (this->stopping)
        return;
    this->log.write("targets", "leases_offered",
                    {{"from", from},
                     {"targets", static_cast<std::int64_t>(offer.targets.size())},
                     {"unreachable", offer.unreachable}});
    const auto now = monotonic_clock::now();
    for (const auto& name : offer.targets) {
        if (this->registry.find(name) == nullptr)
            continue;
        auto& call = this->calls[name];
        call.offered = true;
        call.offered_at = now;
        call.due = now;
        if (offer.unreachable)
            call.kept_until = now + keep_unreachable;
    }
    this->tick();
}

} // namespace verbenalever
