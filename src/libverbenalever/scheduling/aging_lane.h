#pragma once

#include "scheduling/flow_order.h"
#include "scheduling/queue_policy.h"

namespace verbenalever {

struct work_flow;

/// Lets work that has waited past its queue's aging interval start, at a bounded cost to the rest.
///
/// One start in starts_between is kept for such work, longest overdue first. A fixed part, where an
/// ordering by waiting time alone would under lasting overload turn into first come, first served.
class aging_lane {
public:
    /// Starts by the policy's own order between two by this lane.
    static constexpr int starts_between = 7;

    void insert(work_flow& flow);
    void erase(const work_flow& flow);

    /// @return whether a start is owed and some work has waited past its aging interval
    [[nodiscard]] bool due(monotonic_time now) const;

    /// @return the flow whose aged first work was accepted, longest overdue first, or null
    [[nodiscard]] work_flow* first_startable(const queue_policy::start_filter& can_start,
                                             monotonic_time now) const;

    /// Count a start by the policy's own order.
    void count_start();

    /// Count a start of aged work.
    void count_aged_start();

private:
    flow_order by_due_time;
    int starts = 0;
};

} // namespace verbenalever
