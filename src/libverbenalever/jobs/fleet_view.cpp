#include "jobs/fleet_view.h"

#include <set>

namespace verbenalever {

void fleet_view::apply_vm_list(std::span<const vm_record> vms)
{
    std::set<std::string_view> listed;
    std::vector<resources> capacities;
    this->entries.clear();
    for (const auto& vm : vms) {
        if (vm.role == vm_role::entry) {
            this->entries[vm.name] = vm.availability_zone;
            continue;
        }
        listed.insert(vm.name);
        capacities.push_back(vm.capacity);
        this->targets[vm.name] = {
            .availability_zone = vm.availability_zone, .listed = true, .left_at = {}};
    }
    this->idle_capacity.assign(capacities);
    for (auto& [name, target] : this->targets) {
        if (target.listed && !listed.contains(name)) {
            target.listed = false;
            target.left_at = monotonic_clock::now();
        }
    }
}

std::string_view fleet_view::zone_of(std::string_view target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? std::string_view() : found->second.availability_zone;
}

monotonic_time fleet_view::left_list_at(std::string_view target) const
{
    const auto found = this->targets.find(target);
    if (found == this->targets.end() || found->second.listed)
        return monotonic_time::max();
    return found->second.left_at;
}

std::vector<std::string> fleet_view::entries_in_zone(std::string_view zone) const
{
    std::vector<std::string> names;
    for (const auto& [name, availability_zone] : this->entries) {
        if (zone.empty() || availability_zone == zone)
            names.push_back(name);
    }
    return names;
}

absl::Status fleet_view::fits_idle_fleet(const resources& demand, std::size_t tasks,
                                         bool simultaneous) const
{
    if (this->idle_capacity.empty())
        return absl::FailedPreconditionError("the platform lists no targets");
    return this->idle_capacity.check(demand, simultaneous ? static_cast<std::int64_t>(tasks) : 1);
}

} // namespace verbenalever
