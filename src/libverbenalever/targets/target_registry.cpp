#include "targets/target_registry.h"

#include "configuration/configuration_store.h"
#include "scheduling/placement_policy.h"
#include "targets/target_inventory.h"

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

void target_registry::set_start_guard(start_guard guard)
{
    this->guard = std::move(guard);
}

bool target_registry::admits(const target_record& target, std::string_view team,
                             const resources& demand, monotonic_time now) const
{
    return this->may_start(target, now) && demand.fits_within(target.free()) &&
           (!this->guard || this->guard(target, team, demand));
}

void target_registry::reserve(target_record& target, std::string_view team, const resources& demand)
{
    target.reserved += demand;
    target.reserved_by_team[std::string(team)] += demand;
}

std::optional<std::string> target_registry::place(placement_policy& policy, std::string_view team,
                                                  const resources& demand)
{
    const auto now = monotonic_clock::now();
    std::vector<placement_candidate> candidates;
    std::vector<target_record*> targets;
    for (auto& [name, target] : this->records) {
        if (!this->admits(target, team, demand, now))
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
    target_registry::reserve(target, team, demand);
    return target.vm.name;
}

bool target_registry::claim(std::string_view target, std::string_view team, const resources& demand)
{
    auto* record = this->find(target);
    if (record == nullptr || !this->admits(*record, team, demand, monotonic_clock::now()))
        return false;
    target_registry::reserve(*record, team, demand);
    return true;
}

void target_registry::release(std::string_view target, std::string_view team,
                              const resources& demand)
{
    if (auto* record = this->find(target)) {
        record->reserved -= demand;
        record->reserved_by_team[std::string(team)] -= demand;
    }
    this->announce_room();
}

void target_registry::take_inventory(target_record& target, const target_inventory& inventory)
{
    target.reserved = {};
    target.reserved_by_team.clear();
    for (const auto& request : inventory.requests)
        target_registry::reserve(target, request.team, {.slots = 1});
    for (const auto& task : inventory.tasks) {
        if (task.running())
            target_registry::reserve(target, task.team, task.demand);
    }
    target.inventory_known = true;
    if (this->inventory_listener)
        this->inventory_listener(target, inventory);
    this->announce_room();
}

void target_registry::on_inventory(
    std::function<void(const target_record&, const target_inventory&)> action)
{
    this->inventory_listener = std::move(action);
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
