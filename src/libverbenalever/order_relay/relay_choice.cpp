#include "order_relay/relay_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace verbenalever {

namespace {

/// A VM with less than this part of its zone's strongest share carries no orders: the users' VMs
/// have an eighth, a quarter or a half of a core, and the weakest are for callers' calls.
constexpr double weak_part = 0.45;

std::uint64_t score_of(const std::string& target, const std::string& vm)
{
    return XXH3_64bits_withSeed(vm.data(), vm.size(), XXH3_64bits(target.data(), target.size()));
}

} // namespace

void relay_choice::put(const std::string& vm, const std::string& availability_zone,
                       double processor_share)
{
    auto& known = this->vms[vm];
    if (known.availability_zone == availability_zone && known.processor_share == processor_share)
        return;
    known = {availability_zone, processor_share};
    this->chosen.clear();
}

void relay_choice::remove(std::string_view vm)
{
    const auto found = this->vms.find(vm);
    if (found == this->vms.end())
        return;
    this->chosen.clear();
    this->vms.erase(found);
}

const std::string* relay_choice::choose(const std::string& target,
                                        std::string_view availability_zone)
{
    const auto [entry, fresh] = this->chosen.try_emplace(target, nullptr);
    if (fresh) {
        entry->second = this->best_of(target, availability_zone);
        // A zone without a VM of its own is served from the others.
        if (entry->second == nullptr)
            entry->second = this->best_of(target, {});
    }
    return entry->second;
}

const std::string* relay_choice::best_of(const std::string& target,
                                         std::string_view availability_zone) const
{
    const auto eligible = [availability_zone](const candidate& one) {
        return availability_zone.empty() || one.availability_zone == availability_zone;
    };
    double strongest = 0;
    for (const auto& [vm, one] : this->vms) {
        if (eligible(one))
            strongest = std::max(strongest, one.processor_share);
    }
    const std::string* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto& [vm, one] : this->vms) {
        if (!eligible(one) || one.processor_share < strongest * weak_part)
            continue;
        const auto score = score_of(target, vm);
        if (best == nullptr || score > best_score) {
            best = &vm;
            best_score = score;
        }
    }
    return best;
}

} // namespace verbenalever
