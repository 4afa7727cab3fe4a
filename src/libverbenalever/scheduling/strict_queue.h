#pragma once

#include "scheduling/flow_order.h"
#include "scheduling/flow_queue.h"

namespace verbenalever {

/// Starts work in strict order of the queues' priorities, and by arrival within one priority.
///
/// Work that has waited longer than its queue's aging interval may hold one slot in eight, so that
/// the lowest priority does not starve and the highest one loses no more than that.
class strict_queue final : public flow_queue {
public:
    using flow_queue::flow_queue;

protected:
    void rank(scheduling_flow& flow) override;
    void unrank(scheduling_flow& flow) override;
    [[nodiscard]] scheduling_flow* choose(const start_filter& can_start,
                                          monotonic_time now) override;

private:
    flow_order order;
};

} // namespace verbenalever
