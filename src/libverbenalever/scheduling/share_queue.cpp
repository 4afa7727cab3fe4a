#include "scheduling/share_queue.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Averaged shares change without any event, so all teams are reranked at this interval.
constexpr milliseconds full_rerank_interval{1000};

} // namespace

share_queue::share_queue(rules_by_queue rules, share_ledger& ledger)
    : flow_queue(std::move(rules)), ledger(ledger),
      ledger_subscription(ledger.on_change([this](std::string_view team) {
          if (this->flows_of_team.contains(team) && !this->changed_teams.contains(team))
              this->changed_teams.emplace(team);
      }))
{
}

void share_queue::rank(scheduling_flow& flow)
{
    const auto& first = flow.waiting.front();
    this->latest_time = std::max(this->latest_time, first.work.arrival);
    this->order_of(flow).insert(flow,
                                {.level = 0,
                                 .value = this->ledger.weighted_share(flow.team, this->latest_time),
                                 .sequence = first.sequence});
    this->flows_of_team[flow.team].insert(&flow);
    if (!flow.rules.urgent)
        this->aged_quota.insert(flow);
}

void share_queue::unrank(scheduling_flow& flow)
{
    this->order_of(flow).erase(flow);
    this->aged_quota.erase(flow);
    const auto found = this->flows_of_team.find(flow.team);
    if (found == this->flows_of_team.end())
        return;
    found->second.erase(&flow);
    if (found->second.empty())
        this->flows_of_team.erase(found);
}

scheduling_flow* share_queue::choose(const start_filter& can_start, monotonic_time now)
{
    this->rerank_changed_teams(now);
    if (this->aged_quota.available(now)) {
        if (auto* flow = this->choose_non_urgent(can_start))
            return flow;
    }
    if (auto* flow = this->urgent_flows.first_startable(can_start))
        return flow;
    return this->choose_non_urgent(can_start);
}

scheduling_flow* share_queue::choose_non_urgent(const start_filter& can_start)
{
    auto* flow = this->non_urgent_flows.first_startable(can_start);
    if (flow != nullptr)
        this->aged_quota.charge_next_start();
    return flow;
}

void share_queue::rerank_changed_teams(monotonic_time now)
{
    this->latest_time = std::max(this->latest_time, now);
    if (now - this->last_full_rerank >= full_rerank_interval) {
        this->last_full_rerank = now;
        for (const auto& [team, flows] : this->flows_of_team)
            this->changed_teams.insert(team);
    }
    const auto teams = std::move(this->changed_teams);
    this->changed_teams.clear();
    for (const auto& team : teams)
        this->rerank_team(team);
}

void share_queue::rerank_team(std::string_view team)
{
    const auto found = this->flows_of_team.find(team);
    if (found == this->flows_of_team.end())
        return;
    for (auto* flow : found->second) {
        auto& order = this->order_of(*flow);
        order.erase(*flow);
        order.insert(*flow, {.level = 0,
                             .value = this->ledger.weighted_share(flow->team, this->latest_time),
                             .sequence = flow->waiting.front().sequence});
    }
}

flow_order& share_queue::order_of(const scheduling_flow& flow)
{
    return flow.rules.urgent ? this->urgent_flows : this->non_urgent_flows;
}

} // namespace verbenalever
