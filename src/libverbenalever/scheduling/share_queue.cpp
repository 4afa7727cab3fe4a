#include "scheduling/share_queue.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Averages move on without events, so all teams are ranked again at this interval.
constexpr milliseconds rank_all_interval{1000};

} // namespace

share_queue::share_queue(rules_by_queue rules, share_ledger& ledger)
    : flow_queue(std::move(rules)), ledger(ledger),
      listening(ledger.on_change([this](std::string_view team) {
          if (this->flows_of_team.contains(team) && !this->changed.contains(team))
              this->changed.emplace(team);
      }))
{
}

void share_queue::rank(work_flow& flow)
{
    const auto& first = flow.waiting.front();
    this->latest = std::max(this->latest, first.work.arrival);
    this->order_of(flow).insert(flow,
                                {.level = 0,
                                 .value = this->ledger.weighted_share(flow.team, this->latest),
                                 .sequence = first.sequence});
    this->flows_of_team[flow.team].insert(&flow);
    if (!flow.rules.urgent)
        this->aged.insert(flow);
}

void share_queue::unrank(work_flow& flow)
{
    this->order_of(flow).erase(flow);
    this->aged.erase(flow);
    const auto found = this->flows_of_team.find(flow.team);
    if (found == this->flows_of_team.end())
        return;
    found->second.erase(&flow);
    if (found->second.empty())
        this->flows_of_team.erase(found);
}

work_flow* share_queue::choose(const start_filter& can_start, monotonic_time now)
{
    this->take_in_changes(now);
    if (this->aged.due(now)) {
        if (auto* flow = this->start_rest(can_start))
            return flow;
    }
    if (auto* flow = this->urgent.first_startable(can_start))
        return flow;
    return this->start_rest(can_start);
}

work_flow* share_queue::start_rest(const start_filter& can_start)
{
    auto* flow = this->rest.first_startable(can_start);
    if (flow != nullptr)
        this->aged.take_next();
    return flow;
}

void share_queue::take_in_changes(monotonic_time now)
{
    this->latest = std::max(this->latest, now);
    if (now - this->all_ranked >= rank_all_interval) {
        this->all_ranked = now;
        for (const auto& [team, flows] : this->flows_of_team)
            this->changed.insert(team);
    }
    const auto teams = std::move(this->changed);
    this->changed.clear();
    for (const auto& team : teams)
        this->rank_again(team);
}

void share_queue::rank_again(std::string_view team)
{
    const auto found = this->flows_of_team.find(team);
    if (found == this->flows_of_team.end())
        return;
    for (auto* flow : found->second) {
        auto& order = this->order_of(*flow);
        order.erase(*flow);
        order.insert(*flow, {.level = 0,
                             .value = this->ledger.weighted_share(flow->team, this->latest),
                             .sequence = flow->waiting.front().sequence});
    }
}

flow_order& share_queue::order_of(const work_flow& flow)
{
    return flow.rules.urgent ? this->urgent : this->rest;
}

} // namespace verbenalever
