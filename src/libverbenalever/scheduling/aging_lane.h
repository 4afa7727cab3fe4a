#pragma once

#include "scheduling/flow_order.h"
#include "scheduling/queue_policy.h"

#include <cstdint>
#include <unordered_map>

namespace verbenalever {

struct work_flow;

/// Lets work that has waited past its queue's aging interval start, at a bounded cost to the rest.
///
/// Work started this way may hold one slot in eight of those that the queue's work holds. A part of
/// the slots, not of the starts: batch work holds its slot a hundred times as long as a request,
/// and one start in eight would give it nearly all. A fixed part, since an order by waiting time
/// alone turns under lasting overload into first come, first served.
class aging_lane {
public:
    /// Slots held in all for each that the lane's work may hold.
    static constexpr std::int64_t slots_for_each_aged = 8;

    void insert(work_flow& flow);
    void erase(const work_flow& flow);

    /// @return whether the lane's part is not used up and some work has waited past its interval
    [[nodiscard]] bool due(monotonic_time now) const;

    /// @return the flow whose aged first work was accepted, longest overdue first, or null
    [[nodiscard]] work_flow* first_startable(const queue_policy::start_filter& can_start,
                                             monotonic_time now) const;

    /// Count the work that is about to start to the lane's part.
    void take_next();

    /// Count work that has started; the lane's own after take_next().
    void started(std::uint64_t id, const resources& demand);

    /// Count work that no longer runs; what was not counted is let be.
    void ended(std::uint64_t id);

private:
    struct holding {
        std::int64_t slots = 0;
        bool aged = false;
    };

    flow_order by_due_time;
    bool next_is_aged = false;
    std::int64_t slots = 0;
    std::int64_t aged_slots = 0;
    std::unordered_map<std::uint64_t, holding> running;
};

} // namespace verbenalever
