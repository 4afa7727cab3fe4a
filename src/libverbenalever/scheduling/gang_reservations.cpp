#include "scheduling/gang_reservations.h"

namespace verbenalever {

void gang_reservations::reserve(std::string_view gang, std::string_view target,
                                const resources& amounts, monotonic_time start)
{
    this->reservations_by_target[std::string(target)][std::string(gang)] = {.amounts = amounts,
                                                                            .start = start};
}

void gang_reservations::release(std::string_view gang)
{
    for (auto& [target, reservations] : this->reservations_by_target) {
        if (const auto found = reservations.find(gang); found != reservations.end())
            reservations.erase(found);
    }
    std::erase_if(this->reservations_by_target,
                  [](const auto& item) { return item.second.empty(); });
}

bool gang_reservations::admits(std::string_view target, const resources& free,
                               const resources& demand, monotonic_time latest_end) const
{
    auto required = demand;
    if (const auto found = this->reservations_by_target.find(target);
        found != this->reservations_by_target.end()) {
        for (const auto& [gang, reservation] : found->second) {
            if (latest_end > reservation.start)
                required += reservation.amounts;
        }
    }
    return required.fits_within(free);
}

bool gang_reservations::empty() const
{
    return this->reservations_by_target.empty();
}

} // namespace verbenalever
