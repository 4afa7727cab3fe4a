#include "scheduling/placement_index.h"

#include <algorithm>
#include <array>

namespace verbenalever {

namespace {

constexpr std::array<std::int64_t resources::*, 4> resource_fields{
    &resources::slots, &resources::processors_milli, &resources::memory_mb,
    &resources::accelerators};

} // namespace

void placement_index::assign(std::vector<placement_candidate> candidates)
{
    this->all_candidates = std::move(candidates);
    this->largest_capacity = {};
    for (const auto& candidate : this->all_candidates) {
        for (const auto field : resource_fields)
            this->largest_capacity.*field =
                std::max(this->largest_capacity.*field, candidate.capacity.*field);
    }
    this->order.clear();
    this->free_sums.clear();
    for (std::size_t position = 0; position < this->all_candidates.size(); ++position) {
        this->free_sums.push_back(this->normalized_sum(this->all_candidates[position].free));
        this->order.emplace(this->free_sums.back(), position);
    }
}

void placement_index::set_free(std::size_t position, const resources& free)
{
    auto node = this->order.extract({this->free_sums[position], position});
    this->all_candidates[position].free = free;
    this->free_sums[position] = this->normalized_sum(free);
    node.value().first = this->free_sums[position];
    this->order.insert(std::move(node));
}

std::span<const placement_candidate> placement_index::candidates() const
{
    return this->all_candidates;
}

const placement_index::free_capacity_order& placement_index::by_free_capacity() const
{
    return this->order;
}

double placement_index::normalized_sum(const resources& amounts) const
{
    double sum = 0;
    for (const auto field : resource_fields) {
        if (this->largest_capacity.*field > 0)
            sum += static_cast<double>(amounts.*field) /
                   static_cast<double>(this->largest_capacity.*field);
    }
    return sum;
}

bool placement_index::has_capacity(const resources& demand) const
{
    const auto required = this->normalized_sum(demand);
    // Most free capacity first: after a candidate with a smaller sum than the demand none can fit.
    const auto first_decisive =
        std::find_if(this->order.rbegin(), this->order.rend(), [&](const auto& entry) {
            const auto& [free_sum, position] = entry;
            return free_sum < required || demand.fits_within(this->all_candidates[position].free);
        });
    return first_decisive != this->order.rend() && first_decisive->first >= required;
}

} // namespace verbenalever
