#include "targets/inventory_keeper.h"

#include "targets/target_client.h"
#include "targets/target_registry.h"

#include <algorithm>

namespace verbenalever {

namespace {

constexpr milliseconds settled_interval{20'000};
constexpr milliseconds shortest_interval{250};
constexpr milliseconds longest_unsettled_interval{5000};
constexpr milliseconds failed_interval{50};
/// Part of the time since work came in doubt, or from others, until the next look.
constexpr int interval_divisor = 4;
/// Least time between two grants asked for to settle doubts on one target.
constexpr milliseconds fence_interval{1000};

} // namespace

inventory_keeper::inventory_keeper(target_client& client, target_registry& registry)
    : client(client), registry(registry)
{
}

void inventory_keeper::read(target_record& target)
{
    auto& reading = this->readings[target.vm.name];
    if (reading.in_flight)
        return;
    reading.in_flight = true;
    target_registry::begin_inventory(target);
    this->client.read_inventory(target.vm.address,
                                [this, name = target.vm.name, epoch = target.lease_epoch](
                                    const absl::StatusOr<target_inventory>& inventory) {
                                    this->readings[name].in_flight = false;
                                    auto* target = this->registry.find(name);
                                    if (target == nullptr)
                                        return;
                                    // What was read under an older lease may lack starts that were
                                    // let in since.
                                    if (inventory.ok() && target->lease_epoch == epoch)
                                        this->registry.take_inventory(*target, *inventory);
                                    this->plan_next(*target, monotonic_clock::now());
                                });
}

void inventory_keeper::plan_next(const target_record& target, monotonic_time now)
{
    auto& reading = this->readings[target.vm.name];
    if (!target.inventory_known) {
        reading.due = now + failed_interval;
        return;
    }
    if (!target.ledger.unsettled()) {
        reading.unsettled_since = {};
        reading.due = now + settled_interval;
        return;
    }
    if (reading.unsettled_since == monotonic_time())
        reading.unsettled_since = now;
    const auto waited =
        std::chrono::duration_cast<milliseconds>(now - reading.unsettled_since) / interval_divisor;
    reading.due = now + std::clamp(waited, shortest_interval, longest_unsettled_interval);
}

void inventory_keeper::tick(monotonic_time now)
{
    for (auto& [name, target] : this->registry.all()) {
        if (!target.held(now))
            continue;
        auto& reading = this->readings[name];
        const bool newly_unsettled =
            reading.unsettled_since == monotonic_time() && target.ledger.unsettled();
        if (reading.due <= now || newly_unsettled)
            this->read(target);
    }
    std::erase_if(this->readings, [this](const auto& entry) {
        return !entry.second.in_flight && this->registry.find(entry.first) == nullptr;
    });
}

bool inventory_keeper::needs_newer_lease(const target_record& target, monotonic_time now) const
{
    if (!target.inventory_known || !target.ledger.in_doubt())
        return false;
    const auto reading = this->readings.find(target.vm.name);
    return reading == this->readings.end() || now - reading->second.fenced >= fence_interval;
}

void inventory_keeper::asked_newer_lease(const target_record& target, monotonic_time now)
{
    this->readings[target.vm.name].fenced = now;
}

} // namespace verbenalever
