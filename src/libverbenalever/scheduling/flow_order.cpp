#include "scheduling/flow_order.h"

#include "scheduling/work_flow.h"

#include <algorithm>

namespace verbenalever {

void flow_order::insert(work_flow& flow, flow_rank rank)
{
    auto& group = this->group_of(flow.demand);
    group.flows.emplace(rank, &flow);
    this->places[&flow] = {.rank = rank, .in = &group};
}

void flow_order::erase(const work_flow& flow)
{
    const auto found = this->places.find(&flow);
    if (found == this->places.end())
        return;
    auto* group = found->second.in;
    group->flows.erase(found->second.rank);
    this->places.erase(found);
    if (group->flows.empty())
        std::erase_if(this->groups, [group](const auto& other) { return other.get() == group; });
}

bool flow_order::empty() const
{
    return this->places.empty();
}

work_flow* flow_order::first() const
{
    const auto lowest = std::ranges::min_element(this->groups, [](const auto& a, const auto& b) {
        return a->flows.begin()->first < b->flows.begin()->first;
    });
    return lowest == this->groups.end() ? nullptr : (*lowest)->flows.begin()->second;
}

work_flow* flow_order::first_startable(const queue_policy::start_filter& can_start) const
{
    const auto asks_first = [&can_start](const work_flow& flow) {
        return can_start(flow.waiting.front().work);
    };
    return this->first_startable(flow_filter(asks_first));
}

work_flow* flow_order::first_startable(flow_filter can_start) const
{
    auto left = this->cursors();
    while (!left.empty()) {
        const auto next = std::ranges::min_element(
            left, [](const cursor& a, const cursor& b) { return a.at->first < b.at->first; });
        auto* flow = next->at->second;
        const auto verdict = can_start(*flow);
        if (verdict.accepted())
            return flow;
        if (verdict.lacks_capacity()) {
            std::erase_if(left, [flow](const cursor& other) {
                return flow->demand.fits_within(other.in->demand);
            });
        }
        else if (++next->at == next->in->flows.end()) {
            left.erase(next);
        }
    }
    return nullptr;
}

flow_order::group& flow_order::group_of(const resources& demand)
{
    const auto found = std::ranges::find_if(
        this->groups, [&demand](const auto& group) { return group->demand == demand; });
    if (found != this->groups.end())
        return **found;
    this->groups.push_back(std::make_unique<group>(group{.demand = demand, .flows = {}}));
    return *this->groups.back();
}

std::vector<flow_order::cursor> flow_order::cursors() const
{
    std::vector<cursor> all;
    all.reserve(this->groups.size());
    for (const auto& group : this->groups)
        all.push_back({.in = group.get(), .at = group->flows.begin()});
    return all;
}

} // namespace verbenalever
