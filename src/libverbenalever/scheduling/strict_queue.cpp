#include "scheduling/strict_queue.h"

namespace verbenalever {

void strict_queue::rank(work_flow& flow)
{
    this->order.insert(
        flow,
        {.level = flow.rules.priority, .value = 0, .sequence = flow.waiting.front().sequence});
    this->aged.insert(flow);
}

void strict_queue::unrank(work_flow& flow)
{
    this->order.erase(flow);
    this->aged.erase(flow);
}

work_flow* strict_queue::choose(const start_filter& can_start, monotonic_time now)
{
    if (this->aged.due(now)) {
        if (auto* flow = this->aged.first_startable(can_start, now)) {
            this->aged.take_next();
            return flow;
        }
    }
    return this->order.first_startable(can_start);
}

} // namespace verbenalever
