#include "targets/lease_manager.h"

#include "membership/peer_mesh.h"
#include "targets/inventory_poller.h"
#include "targets/lease_arbiter.h"
#include "targets/lease_offer.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <algorithm>
#include <memory>

namespace verbenalever {

namespace {

/// Subtracted from each lease's validity, because clocks run at slightly different speeds.
constexpr milliseconds clock_drift_margin{50};

/// How often due lease requests are sent; short, to spread the requests over time.
constexpr milliseconds tick_interval{50};

/// After a refusal the next request is sent this long after the other holder's lease expires.
constexpr milliseconds refusal_retry_margin{5};

/// An assignment has to be unchanged for this many heartbeats before leases are moved by it.
constexpr int heartbeats_before_move = 3;

/// How long an entry daemon keeps the lease of a target that its assigned entry daemon cannot
/// reach.
constexpr std::chrono::seconds offered_lease_retention{60};

/// @return the timeout of a lease request: short enough for a retry before the lease expires
milliseconds lease_request_timeout(const entry_settings& settings)
{
    return settings.target_lease / 4;
}

} // namespace

lease_manager::lease_manager(event_loop& loop, const entry_settings& settings, peer_mesh& mesh,
                             lease_arbiter& arbiter, inventory_poller& inventories,
                             target_registry& registry, counters& metrics, const event_log& log)
    : settings(settings), mesh(mesh), arbiter(arbiter), inventories(inventories),
      registry(registry), metrics(metrics), log(log), tick_timer(loop, [this] { this->tick(); })
{
    this->mesh.on<lease_offer>([this](const std::string& from, const lease_offer& message) {
        this->handle_offer(from, message);
    });
}

void lease_manager::start()
{
    this->tick_timer.start_repeating(tick_interval);
}

void lease_manager::update_assignment()
{
    std::vector<std::string> targets;
    for (const auto& [name, target] : this->registry.all())
        targets.push_back(name);
    auto entries = this->mesh.live_in_zone();
    std::sort(entries.begin(), entries.end());
    if (!this->assignment.update(std::move(targets), std::move(entries)))
        return;
    this->assignment_since = monotonic_clock::now();
    this->metrics.add("target_divisions");
    std::erase_if(this->lease_states, [this](const auto& entry) {
        return !entry.second.in_flight && this->registry.find(entry.first) == nullptr;
    });
}

void lease_manager::tick()
{
    this->update_assignment();
    const auto now = monotonic_clock::now();
    for (auto& [name, target] : this->registry.all()) {
        auto& state = this->lease_states[name];
        const bool due =
            state.next_request_at <= now || this->inventories.needs_newer_lease(target, now);
        if (!state.in_flight && due && this->should_request_lease(target, state, now))
            this->request_lease(target, state);
        this->offer_unreachable_target(target, state, now);
    }
    this->inventories.tick(now);
    if (!this->moving_group && !this->stopping)
        this->move_misplaced_group();
}

bool lease_manager::should_request_lease(const target_record& target, const lease_state& state,
                                         monotonic_time now) const
{
    if (state.on_released || this->on_all_released)
        return false;
    if (this->stopping)
        return target.lease_held(now);
    return state.offered_here || target.lease_held(now) ||
           this->assignment.assigned_entry(target.vm.name) == this->settings.name;
}

void lease_manager::request_lease(target_record& target, lease_state& state)
{
    const auto now = monotonic_clock::now();
    const bool new_epoch_needed = this->inventories.needs_newer_lease(target, now);
    const bool renewal = target.lease_held(now) && !new_epoch_needed;
    if (new_epoch_needed)
        this->inventories.record_newer_lease_request(target, now);
    state.in_flight = true;
    state.next_request_at = now + this->settings.target_lease_renewal;
    this->arbiter.acquire(target, renewal ? target.lease_epoch : 0, this->settings.target_lease,
                          lease_request_timeout(this->settings),
                          [this, name = target.vm.name,
                           requested_at = now](const absl::StatusOr<lease_response>& answer) {
                              this->handle_response(name, requested_at, answer);
                          });
}

void lease_manager::handle_response(const std::string& name, monotonic_time requested_at,
                                    const absl::StatusOr<lease_response>& answer)
{
    auto& state = this->lease_states[name];
    state.in_flight = false;
    auto* target = this->registry.find(name);
    if (target == nullptr) {
        if (const auto on_released = std::exchange(state.on_released, nullptr))
            on_released();
        return;
    }
    const auto now = monotonic_clock::now();
    if (answer.ok()) {
        state.unanswered_since = {};
        state.offers_sent = 0;
    }
    if (!answer.ok()) {
        state.offered_here = false;
        if (state.unanswered_since == monotonic_time())
            state.unanswered_since = requested_at;
        if (absl::IsDeadlineExceeded(answer.status()))
            state.next_request_at = now;
    }
    else if (answer->granted) {
        this->apply_grant(*target, answer->epoch,
                          requested_at + this->settings.target_lease - clock_drift_margin);
        state.offered_here = false;
    }
    else if (state.offered_here && state.offered_at > requested_at) {
        state.next_request_at = now; // the lease was released after this request was sent
    }
    else {
        if (answer->epoch > target->lease_epoch)
            target->lease_valid_until = {}; // another entry daemon holds it
        state.next_request_at =
            now + std::min<milliseconds>(answer->remaining + refusal_retry_margin,
                                         this->settings.target_lease_renewal);
        state.offered_here =
            state.offered_here && answer->remaining < this->settings.target_lease_renewal;
    }
    if (state.on_released)
        this->send_release(*target);
}

void lease_manager::apply_grant(target_record& target, std::int64_t epoch,
                                monotonic_time valid_until)
{
    // A different epoch is a newer lease even when it is smaller: only one request is in flight at
    // a time, and a target derives epochs from its own clock, which may be set back by a restart.
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

lease_manager::target_names lease_manager::find_misplaced_group(monotonic_time now) const
{
    for (const auto& [name, target] : this->registry.all()) {
        const auto assigned = this->assignment.assigned_entry(name);
        if (!target.lease_held(now) || assigned.empty() || assigned == this->settings.name)
            continue;
        auto targets = this->assignment.targets_in_same_group(name);
        std::erase_if(targets, [this, now](const std::string& member) {
            const auto state = this->lease_states.find(member);
            return state != this->lease_states.end() && now < state->second.keep_until;
        });
        if (!targets.empty())
            return targets;
    }
    return {};
}

void lease_manager::offer_unreachable_target(const target_record& target, lease_state& state,
                                             monotonic_time now)
{
    const auto& name = target.vm.name;
    if (this->stopping || target.lease_held(now) || state.unanswered_since == monotonic_time() ||
        now - state.unanswered_since < this->settings.target_lease ||
        this->assignment.assigned_entry(name) != this->settings.name)
        return;
    auto others = this->mesh.live_in_zone();
    std::erase(others, this->settings.name);
    state.unanswered_since = now;
    if (others.empty())
        return;
    this->metrics.add("targets_offered_as_unreachable");
    this->mesh.send(others[state.offers_sent++ % others.size()],
                    lease_offer{.targets = {name}, .unreachable = true});
}

void lease_manager::move_misplaced_group()
{
    const auto now = monotonic_clock::now();
    const auto assignment_age_before_move =
        heartbeats_before_move * this->settings.heartbeat_interval;
    if (now - this->assignment_since < assignment_age_before_move)
        return;
    const auto targets = this->find_misplaced_group(now);
    if (targets.empty())
        return;
    this->moving_group = true;
    this->release_group(targets, [this] { this->moving_group = false; });
}

void lease_manager::release_group(const target_names& targets, std::function<void()> done)
{
    const std::string receiver(this->assignment.assigned_entry(targets.front()));
    auto pending_releases = std::make_shared<std::size_t>(1);
    const auto on_released = [this, pending_releases, receiver, targets, done = std::move(done)] {
        if (--*pending_releases > 0)
            return;
        this->mesh.send(receiver, lease_offer{.targets = targets});
        done();
    };
    for (const auto& name : targets) {
        auto* target = this->registry.find(name);
        if (target == nullptr || !target->lease_held(monotonic_clock::now()))
            continue;
        ++*pending_releases;
        this->release(*target, on_released);
    }
    on_released();
}

void lease_manager::release(target_record& target, std::function<void()> done)
{
    target.lease_valid_until = {};
    auto& state = this->lease_states[target.vm.name];
    state.offered_here = false;
    state.on_released = std::move(done);
    // A renewal in flight could acquire the lease again after its release: wait for its answer.
    if (!state.in_flight)
        this->send_release(target);
}

void lease_manager::send_release(target_record& target)
{
    target.lease_valid_until = {};
    this->log.write("targets", "lease_released",
                    {{"target", target.vm.name}, {"epoch", target.lease_epoch}});
    auto on_released = std::exchange(this->lease_states[target.vm.name].on_released, nullptr);
    this->arbiter.release(target, target.lease_epoch,
                          [this, name = target.vm.name, on_released](const absl::Status&) {
                              auto& state = this->lease_states[name];
                              state.next_request_at =
                                  monotonic_clock::now() + this->settings.target_lease;
                              on_released();
                          });
}

void lease_manager::hand_over(std::function<void()> done)
{
    this->stopping = true;
    this->on_all_released = std::move(done);
    this->update_assignment();
    this->release_next_group();
}

void lease_manager::release_next_group()
{
    const auto now = monotonic_clock::now();
    for (const auto& [name, target] : this->registry.all()) {
        if (!target.lease_held(now))
            continue;
        return this->release_group(this->assignment.targets_in_same_group(name),
                                   [this] { this->release_next_group(); });
    }
    this->on_all_released();
}

void lease_manager::handle_offer(const std::string& from, const lease_offer& offer)
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
        auto& state = this->lease_states[name];
        state.offered_here = true;
        state.offered_at = now;
        state.next_request_at = now;
        if (offer.unreachable)
            state.keep_until = now + offered_lease_retention;
    }
    this->tick();
}

} // namespace verbenalever
