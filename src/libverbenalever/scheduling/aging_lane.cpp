#include "scheduling/aging_lane.h"

#include "scheduling/work_flow.h"

#include <algorithm>

namespace verbenalever {

namespace {

monotonic_time due_time(const work_flow& flow)
{
    return flow.waiting.front().work.arrival + flow.rules.aging;
}

} // namespace

void aging_lane::insert(work_flow& flow)
{
    const std::chrono::duration<double> due = due_time(flow).time_since_epoch();
    this->by_due_time.insert(
        flow, {.level = 0, .value = due.count(), .sequence = flow.waiting.front().sequence});
}

void aging_lane::erase(const work_flow& flow)
{
    this->by_due_time.erase(flow);
}

bool aging_lane::due(monotonic_time now) const
{
    const auto* first = this->by_due_time.first();
    return this->aged_slots * slots_for_each_aged <= this->slots && first != nullptr &&
           due_time(*first) <= now;
}

work_flow* aging_lane::first_startable(const queue_policy::start_filter& can_start,
                                       monotonic_time now) const
{
    const auto asks_when_due = [&can_start, now](const work_flow& flow) {
        return due_time(flow) <= now ? can_start(flow.waiting.front().work) : start_verdict(false);
    };
    return this->by_due_time.first_startable(flow_order::flow_filter(asks_when_due));
}

void aging_lane::take_next()
{
    this->next_is_aged = true;
}

void aging_lane::started(std::uint64_t id, const resources& demand)
{
    const holding held{.slots = std::max<std::int64_t>(demand.slots, 1),
                       .aged = this->next_is_aged};
    this->next_is_aged = false;
    this->slots += held.slots;
    this->aged_slots += held.aged ? held.slots : 0;
    this->running[id] = held;
}

void aging_lane::ended(std::uint64_t id)
{
    const auto node = this->running.extract(id);
    if (node.empty())
        return;
    this->slots -= node.mapped().slots;
    this->aged_slots -= node.mapped().aged ? node.mapped().slots : 0;
}

} // namespace verbenalever
