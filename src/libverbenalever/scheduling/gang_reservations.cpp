#include "scheduling/gang_reservations.h"

namespace verbenalever {

void gang_reservations::reserve(std::string_view gang, std::string_view target,
                                const resources& room, monotonic_time starts)
{
    this->targets[std::string(target)][std::string(gang)] = {.room = room, .starts = starts};
}

void gang_reservations::release(std::string_view gang)
{
    for (auto& [target, held] : this->targets) {
        if (const auto own = held.find(gang); own != held.end())
            held.erase(own);
    }
    std::erase_if(this->targets, [](const auto& entry) { return entry.second.empty(); });
}

bool gang_reservations::admits(std::string_view target, const resources& free,
                               const resources& demand, monotonic_time ends) const
{
    auto needed = demand;
    if (const auto found = this->targets.find(target); found != this->targets.end()) {
        for (const auto& [gang, held] : found->second) {
            if (ends > held.starts)
                needed += held.room;
        }
    }
    return needed.fits_within(free);
}

bool gang_reservations::empty() const
{
    return this->targets.empty();
}

} // namespace verbenalever
