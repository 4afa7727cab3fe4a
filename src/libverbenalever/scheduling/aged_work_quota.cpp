#include "scheduling/aged_work_quota.h"

#include "scheduling/scheduling_flow.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// @return when the flow's first work has waited for the aging interval
monotonic_time aging_time(const scheduling_flow& flow)
{
    return flow.waiting.front().work.arrival + flow.rules.aging_interval;
}

} // namespace

void aged_work_quota::insert(scheduling_flow& flow)
{
    const std::chrono::duration<double> aged_at = aging_time(flow).time_since_epoch();
    this->flows_by_aging_time.insert(
        flow, {.level = 0, .value = aged_at.count(), .sequence = flow.waiting.front().sequence});
}

void aged_work_quota::erase(const scheduling_flow& flow)
{
    this->flows_by_aging_time.erase(flow);
}

bool aged_work_quota::available(monotonic_time now) const
{
    const auto* first = this->flows_by_aging_time.first();
    return this->charged_slots * slots_per_charged_slot <= this->held_slots && first != nullptr &&
           aging_time(*first) <= now;
}

scheduling_flow* aged_work_quota::first_startable(const queue_policy::start_filter& can_start,
                                                  monotonic_time now) const
{
    const auto can_start_if_aged = [&can_start, now](const scheduling_flow& flow) {
        return aging_time(flow) <= now ? can_start(flow.waiting.front().work)
                                       : start_verdict(false);
    };
    return this->flows_by_aging_time.first_startable(flow_order::flow_filter(can_start_if_aged));
}

void aged_work_quota::charge_next_start()
{
    this->charge_next_to_quota = true;
}

void aged_work_quota::work_started(std::uint64_t id, const resources& demand)
{
    const slot_usage usage{.slots = std::max<std::int64_t>(demand.slots, 1),
                           .charged = this->charge_next_to_quota};
    this->charge_next_to_quota = false;
    this->held_slots += usage.slots;
    this->charged_slots += usage.charged ? usage.slots : 0;
    this->usage_by_work[id] = usage;
}

void aged_work_quota::work_ended(std::uint64_t id)
{
    const auto node = this->usage_by_work.extract(id);
    if (node.empty())
        return;
    this->held_slots -= node.mapped().slots;
    this->charged_slots -= node.mapped().charged ? node.mapped().slots : 0;
}

} // namespace verbenalever
