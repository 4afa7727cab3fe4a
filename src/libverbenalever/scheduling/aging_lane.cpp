#include "scheduling/aging_lane.h"

#include "scheduling/work_flow.h"

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
    return this->starts >= starts_between && first != nullptr && due_time(*first) <= now;
}

work_flow* aging_lane::first_startable(const queue_policy::start_filter& can_start,
                                       monotonic_time now) const
{
    const auto asks_when_due = [&can_start, now](const work_flow& flow) {
        return due_time(flow) <= now ? can_start(flow.waiting.front().work) : start_verdict(false);
    };
    return this->by_due_time.first_startable(flow_order::flow_filter(asks_when_due));
}

void aging_lane::count_start()
{
    ++this->starts;
}

void aging_lane::count_aged_start()
{
    this->starts = 0;
}

} // namespace verbenalever
