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
/// They are grouped by demand, so that one answer "no room" passes over all flows that ask for as
/// much or more: with the fleet full, a decision does not look at each team.
class flow_order {
public:
    /// Add a flow that is not in the order yet.
    void insert(scheduling_flow& flow, flow_rank rank);

    /// Take a flow out; one that is not in the order is let be.
    void erase(const scheduling_flow& flow);

    [[nodiscard]] bool empty() const;

    /// @return the flow of lowest rank, or null when the order is empty
    [[nodiscard]] scheduling_flow* first() const;

    /// Says whether the first work of a flow could start now.
    using flow_filter = absl::FunctionRef<start_verdict(const scheduling_flow&)>;

    /// @param can_start asked about each flow in order of rank
    /// @return the first flow whose work was accepted, or null
    [[nodiscard]] scheduling_flow* first_startable(flow_filter can_start) const;

    /// The same by a filter of work.
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
