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
    void rank(scheduling_flow& flow) override;
    void unrank(scheduling_flow& flow) override;
    [[nodiscard]] scheduling_flow* choose(const start_filter& can_start,
                                          monotonic_time now) override;

private:
    void rerank_team(std::string_view team);
    void rerank_changed_teams(monotonic_time now);
    [[nodiscard]] flow_order& order_of(const scheduling_flow& flow);
    [[nodiscard]] scheduling_flow* choose_non_urgent(const start_filter& can_start);

    share_ledger& ledger;
    std::shared_ptr<share_ledger::change_listener> ledger_subscription;
    /// Teams whose standing changed. They are ranked again before the next choice: a change may
    /// come from within the start filter, while the order is being read.
    std::set<std::string, std::less<>> changed_teams;
    std::map<std::string, std::set<scheduling_flow*>, std::less<>> flows_of_team;
    flow_order urgent_flows;
    flow_order non_urgent_flows;
    monotonic_time latest_time;
    monotonic_time last_full_rerank;
};

} // namespace verbenalever
