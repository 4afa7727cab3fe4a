#include "targets/inventory_poller.h"

#include "targets/target_client.h"
#include "targets/target_registry.h"

#include <algorithm>

namespace verbenalever {

namespace {

constexpr milliseconds idle_interval{20'000};
/// Bounds of the poll interval while an inventory may free capacity.
constexpr milliseconds min_interval_while_pending{250};
constexpr milliseconds max_interval_while_pending{5000};
constexpr milliseconds retry_interval{50};
/// While an inventory may free capacity, the poll interval is the time since that began, divided by
/// this.
constexpr int interval_divisor = 4;
/// Least time between two requests for a new lease of one target to resolve unconfirmed starts.
constexpr milliseconds newer_lease_interval{1000};

} // namespace

inventory_poller::inventory_poller(target_client& client, target_registry& registry)
    : client(client), registry(registry)
{
}

void inventory_poller::read(target_record& target)
{
    auto& poll_state = this->poll_states[target.vm.name];
    if (poll_state.in_flight)
        return;
    poll_state.in_flight = true;
    target_registry::begin_inventory_read(target);
    this->client.read_inventory(target.vm.address,
                                [this, name = target.vm.name, epoch = target.lease_epoch](
                                    const absl::StatusOr<target_inventory>& inventory) {
                                    this->poll_states[name].in_flight = false;
                                    auto* target = this->registry.find(name);
                                    if (target == nullptr)
                                        return;
                                    // An inventory read under an older lease may lack starts
                                    // that the target accepted since.
                                    if (inventory.ok() && target->lease_epoch == epoch)
                                        this->registry.apply_inventory(*target, *inventory);
                                    this->schedule_next_read(*target, monotonic_clock::now());
                                });
}

void inventory_poller::schedule_next_read(const target_record& target, monotonic_time now)
{
    auto& poll_state = this->poll_states[target.vm.name];
    if (!target.inventory_known) {
        poll_state.next_read = now + retry_interval;
        return;
    }
    if (!target.reservations.may_free_capacity()) {
        poll_state.pending_since = {};
        poll_state.next_read = now + idle_interval;
        return;
    }
    if (poll_state.pending_since == monotonic_time())
        poll_state.pending_since = now;
    const auto interval =
        std::chrono::duration_cast<milliseconds>(now - poll_state.pending_since) / interval_divisor;
    poll_state.next_read =
        now + std::clamp(interval, min_interval_while_pending, max_interval_while_pending);
}

void inventory_poller::tick(monotonic_time now)
{
    for (auto& [name, target] : this->registry.all()) {
        if (!target.lease_held(now))
            continue;
        auto& poll_state = this->poll_states[name];
        const bool newly_pending =
            poll_state.pending_since == monotonic_time() && target.reservations.may_free_capacity();
        if (poll_state.next_read <= now || newly_pending)
            this->read(target);
    }
    std::erase_if(this->poll_states, [this](const auto& entry) {
        return !entry.second.in_flight && this->registry.find(entry.first) == nullptr;
    });
}

bool inventory_poller::needs_newer_lease(const target_record& target, monotonic_time now) const
{
    if (!target.inventory_known || !target.reservations.has_unconfirmed_starts())
        return false;
    const auto poll_state = this->poll_states.find(target.vm.name);
    return poll_state == this->poll_states.end() ||
           now - poll_state->second.newer_lease_requested_at >= newer_lease_interval;
}

void inventory_poller::record_newer_lease_request(const target_record& target, monotonic_time now)
{
    this->poll_states[target.vm.name].newer_lease_requested_at = now;
}

} // namespace verbenalever
