#include "scheduling/flow_order.h"

#include "scheduling/scheduling_flow.h"

#include <algorithm>

namespace verbenalever {

void flow_order::insert(scheduling_flow& flow, flow_rank rank)
{
    auto& group = this->group_for(flow.demand);
    group.flows.emplace(rank, &flow);
    this->locations[&flow] = {.rank = rank, .group = &group};
}

void flow_order::erase(const scheduling_flow& flow)
{
    const auto found = this->locations.find(&flow);
    if (found == this->locations.end())
        return;
    auto* group = found->second.group;
    group->flows.erase(found->second.rank);
    this->locations.erase(found);
    if (group->flows.empty())
        std::erase_if(this->groups, [group](const auto& other) { return other.get() == group; });
}

bool flow_order::empty() const
{
    return this->locations.empty();
}

scheduling_flow* flow_order::first() const
{
    const auto lowest = std::ranges::min_element(this->groups, [](const auto& a, const auto& b) {
        return a->flows.begin()->first < b->flows.begin()->first;
    });
    return lowest == this->groups.end() ? nullptr : (*lowest)->flows.begin()->second;
}

scheduling_flow* flow_order::first_startable(const queue_policy::start_filter& can_start) const
{
    const auto can_start_first = [&can_start](const scheduling_flow& flow) {
        return can_start(flow.waiting.front().work);
    };
    return this->first_startable(flow_filter(can_start_first));
}

scheduling_flow* flow_order::first_startable(flow_filter can_start) const
{
    auto remaining = this->begin_cursors();
    while (!remaining.empty()) {
        const auto next = std::ranges::min_element(remaining, [](const cursor& a, const cursor& b) {
            return a.position->first < b.position->first;
        });
        auto* flow = next->position->second;
        const auto verdict = can_start(*flow);
        if (verdict.accepted())
            return flow;
        if (verdict.lacks_capacity()) {
            std::erase_if(remaining, [flow](const cursor& other) {
                return flow->demand.fits_within(other.group->demand);
            });
        }
        else if (++next->position == next->group->flows.end()) {
            remaining.erase(next);
        }
    }
    return nullptr;
}

flow_order::demand_group& flow_order::group_for(const resources& demand)
{
    const auto found = std::ranges::find_if(
        this->groups, [&demand](const auto& group) { return group->demand == demand; });
    if (found != this->groups.end())
        return **found;
    this->groups.push_back(
        std::make_unique<demand_group>(demand_group{.demand = demand, .flows = {}}));
    return *this->groups.back();
}

std::vector<flow_order::cursor> flow_order::begin_cursors() const
{
    std::vector<cursor> all;
    all.reserve(this->groups.size());
    for (const auto& group : this->groups)
        all.push_back({.group = group.get(), .position = group->flows.begin()});
    return all;
}

} // namespace verbenalever
