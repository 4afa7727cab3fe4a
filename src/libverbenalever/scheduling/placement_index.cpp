#include "scheduling/placement_index.h"

#include <algorithm>
#include <array>

namespace verbenalever {

namespace {

constexpr std::array<std::int64_t resources::*, 4> amounts{
    &resources::slots, &resources::processors_milli, &resources::memory_mb,
    &resources::accelerators};

} // namespace

void placement_index::assign(std::vector<placement_candidate> candidates)
{
    this->all = std::move(candidates);
    this->largest = {};
    for (const auto& candidate : this->all) {
        for (const auto amount : amounts)
            this->largest.*amount = std::max(this->largest.*amount, candidate.capacity.*amount);
    }
    this->order.clear();
    this->rooms.clear();
    for (std::size_t position = 0; position < this->all.size(); ++position) {
        this->rooms.push_back(this->room(this->all[position].free));
        this->order.emplace(this->rooms.back(), position);
    }
}

void placement_index::set_free(std::size_t position, const resources& free)
{
    auto node = this->order.extract({this->rooms[position], position});
    this->all[position].free = free;
    this->rooms[position] = this->room(free);
    node.value().first = this->rooms[position];
    this->order.insert(std::move(node));
}

std::span<const placement_candidate> placement_index::candidates() const
{
    return this->all;
}

const placement_index::by_room& placement_index::ordered() const
{
    return this->order;
}

double placement_index::room(const resources& amounts_of) const
{
    double sum = 0;
    for (const auto amount : amounts) {
        if (this->largest.*amount > 0)
            sum += static_cast<double>(amounts_of.*amount) /
                   static_cast<double>(this->largest.*amount);
    }
    return sum;
}

bool placement_index::has_capacity(const resources& demand) const
{
    const auto least = this->room(demand);
    // The roomiest first: once one has less room in all than is asked for, none behind it fits.
    const auto decisive =
        std::find_if(this->order.rbegin(), this->order.rend(), [&](const auto& entry) {
            const auto& [room, position] = entry;
            return room < least || demand.fits_within(this->all[position].free);
        });
    return decisive != this->order.rend() && decisive->first >= least;
}

} // namespace verbenalever
