#include "scheduling/flow_queue.h"

#include <algorithm>

namespace verbenalever {

flow_queue::flow_queue(rules_by_queue rules) : rules(std::move(rules)) {}

void flow_queue::push(queued_work work)
{
    auto& flow = this->flow_for(work);
    this->store.add(flow, std::move(work));
    if (flow.waiting.size() == 1)
        this->rank(flow);
}

std::optional<queued_work> flow_queue::pop_next(const start_filter& can_start, monotonic_time now)
{
    this->set_aside_overdue(now);
    auto* flow = this->choose(can_start, now);
    if (flow == nullptr)
        return std::nullopt;
    auto work = this->store.take_first(*flow);
    this->aged.started(work.id, work.demand);
    this->first_has_left(*flow);
    return work;
}

bool flow_queue::remove(std::uint64_t id)
{
    auto* flow = this->store.flow_of(id);
    const bool was_first = flow != nullptr && flow->waiting.front().work.id == id;
    const bool removed = this->store.erase(id);
    if (was_first)
        this->first_has_left(*flow);
    return removed;
}

std::vector<queued_work> flow_queue::pop_expired(monotonic_time now)
{
    this->set_aside_overdue(now);
    return this->store.take_aside();
}

std::vector<queued_work> flow_queue::pop_all()
{
    auto aside = this->store.take_aside();
    work_list all;
    for (auto& [key, flow] : this->flows) {
        this->unrank(flow);
        all.splice(all.end(), flow.waiting);
    }
    all.sort([](const waiting_work& a, const waiting_work& b) { return a.sequence < b.sequence; });
    this->flows.clear();
    this->store = {};
    for (auto& item : all)
        aside.push_back(std::move(item.work));
    return aside;
}

void flow_queue::work_ended(std::uint64_t id)
{
    this->aged.ended(id);
}

std::size_t flow_queue::size() const
{
    return this->store.size();
}

std::size_t flow_queue::size_of(std::string_view queue) const
{
    return this->store.size_of(queue);
}

flow_queue::flow_key flow_queue::key_of(const std::string& queue, const std::string& team,
                                        const resources& demand)
{
    return {
        queue, team, demand.slots, demand.processors_milli, demand.memory_mb, demand.accelerators};
}

work_flow& flow_queue::flow_for(const queued_work& work)
{
    const auto [place, added] = this->flows.try_emplace(key_of(work.queue, work.team, work.demand));
    auto& flow = place->second;
    if (added) {
        flow.queue = work.queue;
        flow.team = work.team;
        flow.demand = work.demand;
        if (const auto found = this->rules.find(work.queue); found != this->rules.end())
            flow.rules = found->second;
    }
    return flow;
}

void flow_queue::first_has_left(work_flow& flow)
{
    this->unrank(flow);
    if (flow.waiting.empty())
        this->flows.erase(key_of(flow.queue, flow.team, flow.demand));
    else
        this->rank(flow);
}

void flow_queue::set_aside_overdue(monotonic_time now)
{
    while (const auto id = this->store.overdue(now)) {
        auto* flow = this->store.flow_of(*id);
        const bool was_first = flow->waiting.front().work.id == *id;
        this->store.set_aside(*id);
        if (was_first)
            this->first_has_left(*flow);
    }
}

} // namespace verbenalever
