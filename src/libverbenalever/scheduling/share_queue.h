#pragma once

#include "scheduling/flow_order.h"
#include "scheduling/flow_queue.h"
#include "scheduling/share_ledger.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace verbenalever {

/// Starts work of urgent queues first. Within urgent and within other work, the team with the
/// lowest weighted share goes first, and within a team the work that arrived first.
///
/// When work of a non-urgent queue has waited longer than the queue's aging interval, non-urgent
/// work goes before urgent work as long as the non-urgent work started in this way holds no more
/// than one slot in eight.
class share_queue final : public flow_queue {
public:
    /// @param ledger usage and weights of the teams; must outlive this
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
    /// Choose a flow of the non-urgent queues and charge its start to the quota.
    [[nodiscard]] scheduling_flow* choose_non_urgent(const start_filter& can_start);

    share_ledger& ledger;
    std::shared_ptr<share_ledger::change_listener> ledger_subscription;
    /// Teams whose weighted share changed. Their flows are reranked before the next choice, not at
    /// once: the start filter may change the ledger while the order is being iterated.
    std::set<std::string, std::less<>> changed_teams;
    std::map<std::string, std::set<scheduling_flow*>, std::less<>> flows_of_team;
    flow_order urgent_flows;
    flow_order non_urgent_flows;
    monotonic_time latest_time;
    monotonic_time last_full_rerank;
};

} // namespace verbenalever
