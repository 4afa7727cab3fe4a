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
    this->mark_expired_work(now);
    auto* flow = this->choose(can_start, now);
    if (flow == nullptr)
        return std::nullopt;
    auto work = this->store.pop_first(*flow);
    this->aged_quota.work_started(work.id, work.demand);
    this->rerank_or_erase(*flow);
    return work;
}

bool flow_queue::remove(std::uint64_t id)
{
    auto* flow = this->store.flow_of(id);
    const bool was_first = flow != nullptr && flow->waiting.front().work.id == id;
    const bool removed = this->store.erase(id);
    if (was_first)
        this->rerank_or_erase(*flow);
    return removed;
}

std::vector<queued_work> flow_queue::pop_expired(monotonic_time now)
{
    this->mark_expired_work(now);
    return this->store.pop_expired();
}

std::vector<queued_work> flow_queue::pop_all()
{
    auto popped = this->store.pop_expired();
    work_list remaining;
    for (auto& [key, flow] : this->flows) {
        this->unrank(flow);
        remaining.splice(remaining.end(), flow.waiting);
    }
    remaining.sort(
        [](const sequenced_work& a, const sequenced_work& b) { return a.sequence < b.sequence; });
    this->flows.clear();
    this->store = {};
    for (auto& item : remaining)
        popped.push_back(std::move(item.work));
    return popped;
}

void flow_queue::work_ended(std::uint64_t id)
{
    this->aged_quota.work_ended(id);
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

scheduling_flow& flow_queue::flow_for(const queued_work& work)
{
    const auto [entry, added] = this->flows.try_emplace(key_of(work.queue, work.team, work.demand));
    auto& flow = entry->second;
    if (added) {
        flow.queue = work.queue;
        flow.team = work.team;
        flow.demand = work.demand;
        if (const auto found = this->rules.find(work.queue); found != this->rules.end())
            flow.rules = found->second;
    }
    return flow;
}

void flow_queue::rerank_or_erase(scheduling_flow& flow)
{
    this->unrank(flow);
    if (flow.waiting.empty())
        this->flows.erase(key_of(flow.queue, flow.team, flow.demand));
    else
        this->rank(flow);
}

void flow_queue::mark_expired_work(monotonic_time now)
{
    while (const auto id = this->store.first_expired(now)) {
        auto* flow = this->store.flow_of(*id);
        const bool was_first = flow->waiting.front().work.id == *id;
        this->store.mark_expired(*id);
        if (was_first)
            this->rerank_or_erase(*flow);
    }
}

} // namespace verbenalever
