#include "targets/target_registry.h"

#include "configuration/configuration_store.h"
#include "scheduling/placement_policy.h"

#include <set>

namespace verbenalever {

target_registry::target_registry(const configuration_store& configuration,
                                 std::string availability_zone)
    : configuration(configuration), availability_zone(std::move(availability_zone))
{
}

void target_registry::update(std::span<const vm_record> vms)
{
    std::set<std::string_view> named;
    for (const auto& vm : vms) {
        if (vm.role != vm_role::target || vm.availability_zone != this->availability_zone)
            continue;
        named.insert(vm.name);
        this->records[vm.name].vm = vm;
    }
    std::erase_if(this->records, [&named](const auto& entry) {
        return !named.contains(entry.first) && !entry.second.held(monotonic_clock::now());
    });
}

target_record* target_registry::find(std::string_view name)
{
    const auto found = this->records.find(name);
    return found == this->records.end() ? nullptr : &found->second;
}

std::map<std::string, target_record, std::less<>>& target_registry::all()
{
    return this->records;
}

bool target_registry::may_start(const target_record& target, monotonic_time now) const
{
    const auto& zones_out = this->configuration.current().availability_zones_out;
    return target.held(now) && target.inventory_known && !target.vm.leaving &&
           !zones_out.contains(target.vm.availability_zone);
}

std::optional<std::string> target_registry::place(placement_policy& policy, const resources& demand)
{
    const auto now = monotonic_clock::now();
    std::vector<placement_candidate> candidates;
    std::vector<target_record*> targets;
    for (auto& [name, target] : this->records) {
        if (!this->may_start(target, now))
            continue;
        candidates.push_back({.index = targets.size(),
                              .capacity = target.vm.capacity,
                              .free = target.free(),
                              .rack = target.vm.rack});
        targets.push_back(&target);
    }
    const auto chosen = policy.choose(candidates, demand);
    if (!chosen)
        return std::nullopt;
    auto& target = *targets[candidates[*chosen].index];
    target.reserved += demand;
    return target.vm.name;
}

void target_registry::release(std::string_view target, const resources& demand)
{
    if (auto* record = this->find(target))
        record->reserved -= demand;
    this->announce_room();
}

void target_registry::on_room(std::function<void()> action)
{
    this->room_listeners.push_back(std::move(action));
}

void target_registry::announce_room() const
{
    for (const auto& listener : this->room_listeners)
        listener();
}

std::int64_t target_registry::free_slots() const
{
    const auto now = monotonic_clock::now();
    std::int64_t total = 0;
    for (const auto& [name, target] : this->records) {
        if (this->may_start(target, now))
            total += target.free().slots;
    }
    return total;
}

} // namespace verbenalever
