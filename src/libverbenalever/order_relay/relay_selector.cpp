#include "order_relay/relay_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace verbenalever {

namespace {

/// A VM whose processor share is less than this fraction of the largest in its zone relays no
/// orders: the users' VMs have 1/8, 1/4 or 1/2 of a core, and the smallest are left to callers'
/// calls.
constexpr double min_part_of_strongest = 0.45;

std::uint64_t rendezvous_score(const std::string& target, const std::string& vm)
{
    return XXH3_64bits_withSeed(vm.data(), vm.size(), XXH3_64bits(target.data(), target.size()));
}

} // namespace

void relay_selector::update(const std::string& vm, const std::string& availability_zone,
                            double processor_share)
{
    auto& vm_info = this->vms[vm];
    if (vm_info.availability_zone == availability_zone &&
        vm_info.processor_share == processor_share)
        return;
    vm_info = {availability_zone, processor_share};
    this->cached_choices.clear();
}

void relay_selector::remove(std::string_view vm)
{
    const auto found = this->vms.find(vm);
    if (found == this->vms.end())
        return;
    this->cached_choices.clear();
    this->vms.erase(found);
}

const std::string* relay_selector::choose(const std::string& target,
                                          std::string_view availability_zone)
{
    const auto [entry, added] = this->cached_choices.try_emplace(target, nullptr);
    if (added) {
        entry->second = this->find_best(target, availability_zone);
        // Fall back to the VMs of all zones when the target's zone has none.
        if (entry->second == nullptr)
            entry->second = this->find_best(target, {});
    }
    return entry->second;
}

const std::string* relay_selector::find_best(const std::string& target,
                                             std::string_view availability_zone) const
{
    const auto eligible = [availability_zone](const candidate& info) {
        return availability_zone.empty() || info.availability_zone == availability_zone;
    };
    double strongest = 0;
    for (const auto& [vm, info] : this->vms) {
        if (eligible(info))
            strongest = std::max(strongest, info.processor_share);
    }
    const std::string* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto& [vm, info] : this->vms) {
        if (!eligible(info) || info.processor_share < strongest * min_part_of_strongest)
            continue;
        const auto score = rendezvous_score(target, vm);
        if (best == nullptr || score > best_score) {
            best = &vm;
            best_score = score;
        }
    }
    return best;
}

} // namespace verbenalever
