#pragma once

#include "scheduling/flow_order.h"
#include "scheduling/queue_policy.h"

#include <cstdint>
#include <unordered_map>

namespace verbenalever {

struct scheduling_flow;

/// Lets work that has waited longer than its queue's aging interval start out of turn, within a
/// quota of slots.
///
/// Starts that are charged to the quota may hold one slot in eight of all slots that work started
/// by the queue policy holds. The quota limits slots, not starts: batch work holds its slot a
/// hundred times as long as a request, so that one start in eight would give it nearly all slots.
/// The quota is fixed because an order by waiting time alone becomes first come, first served under
/// lasting overload.
class aged_work_quota {
public:
    /// Work that is charged to the quota may hold one slot for each of this many slots that all
    /// work holds.
    static constexpr std::int64_t slots_per_charged_slot = 8;

    /// Add a flow whose first work may use the quota once it has aged.
    void insert(scheduling_flow& flow);
    void erase(const scheduling_flow& flow);

    /// @return whether the quota is not exhausted and the first work of some flow has aged
    [[nodiscard]] bool available(monotonic_time now) const;

    /// @return the first flow whose first work has aged and is accepted by @p can_start, in order
    ///         of the time at which the work aged; null when there is none
    [[nodiscard]] scheduling_flow* first_startable(const queue_policy::start_filter& can_start,
                                                   monotonic_time now) const;

    /// Charge the next work that is passed to work_started() to the quota.
    void charge_next_start();

    /// Add the slots of work that has started.
    void work_started(std::uint64_t id, const resources& demand);

    /// Subtract the slots of work that has ended; an unknown id is ignored.
    void work_ended(std::uint64_t id);

private:
    struct slot_usage {
        std::int64_t slots = 0;
        bool charged = false; ///< whether its slots are charged to the quota
    };

    flow_order flows_by_aging_time;
    bool charge_next_to_quota = false;
    std::int64_t held_slots = 0;    ///< by all work that has started and not ended
    std::int64_t charged_slots = 0; ///< part of held_slots that is charged to the quota
    std::unordered_map<std::uint64_t, slot_usage> usage_by_work;
};

} // namespace verbenalever
