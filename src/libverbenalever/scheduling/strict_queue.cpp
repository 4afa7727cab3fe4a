#include "scheduling/strict_queue.h"

namespace verbenalever {

void strict_queue::rank(scheduling_flow& flow)
{
    this->order.insert(
        flow,
        {.level = flow.rules.priority, .value = 0, .sequence = flow.waiting.front().sequence});
    this->aged_quota.insert(flow);
}

void strict_queue::unrank(scheduling_flow& flow)
{
    this->order.erase(flow);
    this->aged_quota.erase(flow);
}

scheduling_flow* strict_queue::choose(const start_filter& can_start, monotonic_time now)
{
    if (this->aged_quota.available(now)) {
        if (auto* flow = this->aged_quota.first_startable(can_start, now)) {
            this->aged_quota.charge_next_start();
            return flow;
        }
    }
    return this->order.first_startable(can_start);
}

} // namespace verbenalever
