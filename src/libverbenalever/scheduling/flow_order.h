#pragma once

#include "scheduling/flow_rank.h"
#include "scheduling/queue_policy.h"
#include "scheduling/resources.h"

#include <absl/functional/function_ref.h>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace verbenalever {

struct scheduling_flow;

/// Flows of waiting work in order of rank.
///
/// Flows are grouped by demand. When the start filter answers that no target has capacity for one
/// demand, all groups with an equal or larger demand are skipped, so that a decision on a full
/// fleet does not ask about each team.
class flow_order {
public:
    /// Add a flow that is not in the order yet.
    void insert(scheduling_flow& flow, flow_rank rank);

    /// Remove a flow; one that is not in the order is ignored.
    void erase(const scheduling_flow& flow);

    [[nodiscard]] bool empty() const;

    /// @return the flow of lowest rank, or null when the order is empty
    [[nodiscard]] scheduling_flow* first() const;

    /// Decides whether the first work of a flow could start now.
    using flow_filter = absl::FunctionRef<start_verdict(const scheduling_flow&)>;

    /// @param can_start called for each flow in order of rank until it accepts one
    /// @return the first flow that was accepted, or null
    [[nodiscard]] scheduling_flow* first_startable(flow_filter can_start) const;

    /// As above, with a filter that gets the first work of each flow.
    [[nodiscard]] scheduling_flow*
    first_startable(const queue_policy::start_filter& can_start) const;

private:
    using ranked_flows = std::map<flow_rank, scheduling_flow*>;

    struct demand_group {
        resources demand;
        ranked_flows flows;
    };

    struct location {
        flow_rank rank;
        demand_group* group = nullptr;
    };

    /// Position within one group during a search over all groups.
    struct cursor {
        const demand_group* group = nullptr;
        ranked_flows::const_iterator position;
    };

    [[nodiscard]] demand_group& group_for(const resources& demand);
    [[nodiscard]] std::vector<cursor> begin_cursors() const;

    std::vector<std::unique_ptr<demand_group>> groups;
    std::unordered_map<const scheduling_flow*, location> locations;
};

} // namespace verbenalever
