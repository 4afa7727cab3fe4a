#pragma once

#include "scheduling/flow_order.h"
#include "scheduling/queue_policy.h"

#include <cstdint>
#include <unordered_map>

namespace verbenalever {

struct scheduling_flow;

/// Lets work that has waited past its queue's aging interval start, at a bounded cost to the rest.
///
/// Work started this way may hold one slot in eight of those that the queue's work holds. A part of
/// the slots, not of the starts: batch work holds its slot a hundred times as long as a request,
/// and one start in eight would give it nearly all. A fixed part, since an order by waiting time
/// alone turns under lasting overload into first come, first served.
class aged_work_quota {
public:
    /// Slots held in all for each that the lane's work may hold.
    static constexpr std::int64_t slots_per_charged_slot = 8;

    void insert(scheduling_flow& flow);
    void erase(const scheduling_flow& flow);

    /// @return whether the lane's part is not used up and some work has waited past its interval
    [[nodiscard]] bool available(monotonic_time now) const;

    /// @return the flow whose aged first work was accepted, longest overdue first, or null
    [[nodiscard]] scheduling_flow* first_startable(const queue_policy::start_filter& can_start,
                                                   monotonic_time now) const;

    /// Count the work that is about to start to the lane's part.
    void charge_next_start();

    /// Count work that has started; the lane's own after charge_next_start().
    void work_started(std::uint64_t id, const resources& demand);

    /// Count work that no longer runs; what was not counted is let be.
    void work_ended(std::uint64_t id);

private:
    struct slot_usage {
        std::int64_t slots = 0;
        bool charged = false;
    };

    flow_order flows_by_aging_time;
    bool charge_next_to_quota = false;
    std::int64_t held_slots = 0;
    std::int64_t charged_slots = 0;
    std::unordered_map<std::uint64_t, slot_usage> usage_by_work;
};

} // namespace verbenalever
