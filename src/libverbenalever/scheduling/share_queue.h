#pragma once

#include "scheduling/flow_order.h"
#include "scheduling/flow_queue.h"
#include "scheduling/share_ledger.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace verbenalever {

/// Urgent queues first; within urgent work and within the rest, the team furthest below its share.
///
/// Within a team by arrival. While the rest holds less than one slot in eight, and has waited past
/// its queue's aging interval, it goes before urgent work.
class share_queue final : public flow_queue {
public:
    /// @param ledger the teams' use; must outlive this
    share_queue(rules_by_queue rules, share_ledger& ledger);

protected:
    void rank(work_flow& flow) override;
    void unrank(work_flow& flow) override;
    [[nodiscard]] work_flow* choose(const start_filter& can_start, monotonic_time now) override;

private:
    void rank_again(std::string_view team);
    void take_in_changes(monotonic_time now);
    [[nodiscard]] flow_order& order_of(const work_flow& flow);
    [[nodiscard]] work_flow* start_rest(const start_filter& can_start);

    share_ledger& ledger;
    std::shared_ptr<share_ledger::change_listener> listening;
    /// Teams whose standing changed. They are ranked again before the next choice: a change may
    /// come from within the start filter, while the order is being read.
    std::set<std::string, std::less<>> changed;
    std::map<std::string, std::set<work_flow*>, std::less<>> flows_of_team;
    flow_order urgent;
    flow_order rest;
    monotonic_time latest;
    monotonic_time all_ranked;
};

} // namespace verbenalever
