#include "scheduling/share_ledger.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace verbenalever {

namespace {

/// Weight of a team whose configured share is zero: its work starts after that of all others, but
/// it does start.
constexpr double min_weight = 1e-6;

constexpr std::array<std::int64_t resources::*, 4> resource_fields{
    &resources::slots, &resources::processors_milli, &resources::memory_mb,
    &resources::accelerators};

} // namespace

share_ledger::share_ledger(milliseconds time_constant)
    : time_constant_seconds(std::chrono::duration<double>(time_constant).count())
{
}

void share_ledger::set_weights(const weights_by_team& weights)
{
    for (auto& [name, account] : this->accounts) {
        if (!weights.contains(name))
            account.weight = 1;
    }
    for (const auto& [name, weight] : weights)
        this->account_for(name).weight = std::max(weight, min_weight);
    for (const auto& [name, account] : this->accounts)
        this->notify(name);
}

void share_ledger::set_capacity(const resources& fleet)
{
    if (fleet == this->fleet_total)
        return;
    this->fleet_total = fleet;
    for (const auto& [name, account] : this->accounts)
        this->notify(name);
}

void share_ledger::add_local_usage(std::string_view team, const resources& change,
                                   monotonic_time now)
{
    auto& account = this->account_for(team);
    this->update_average(account, now);
    account.local += change;
    this->notify(team);
}

void share_ledger::set_peer_usage(std::string_view peer, std::string_view team,
                                  const resources& usage, monotonic_time now)
{
    auto& reported = this->usage_by_peer[std::string(peer)];
    auto& last = reported[std::string(team)];
    if (last != usage) {
        auto& account = this->account_for(team);
        this->update_average(account, now);
        account.remote += usage - last;
        last = usage;
        this->notify(team);
    }
    if (usage == resources{})
        reported.erase(reported.find(team));
}

void share_ledger::remove_peer(std::string_view peer, monotonic_time now)
{
    const auto found = this->usage_by_peer.find(peer);
    if (found == this->usage_by_peer.end())
        return;
    for (const auto& [team, usage] : found->second) {
        auto& account = this->account_for(team);
        this->update_average(account, now);
        account.remote -= usage;
        this->notify(team);
    }
    this->usage_by_peer.erase(found);
}

std::vector<std::string> share_ledger::teams_reported_by(std::string_view peer,
                                                         std::string_view from) const
{
    std::vector<std::string> names;
    const auto found = this->usage_by_peer.find(peer);
    if (found == this->usage_by_peer.end())
        return names;
    const auto& reported = found->second;
    for (auto entry = reported.lower_bound(from); entry != reported.end(); ++entry)
        names.push_back(entry->first);
    return names;
}

resources share_ledger::local_usage(std::string_view team) const
{
    const auto found = this->accounts.find(team);
    return found == this->accounts.end() ? resources{} : found->second.local;
}

resources share_ledger::total_usage(std::string_view team) const
{
    const auto found = this->accounts.find(team);
    return found == this->accounts.end() ? resources{} : found->second.local + found->second.remote;
}

double share_ledger::dominant_share(std::string_view team) const
{
    const auto found = this->accounts.find(team);
    return found == this->accounts.end() ? 0 : this->dominant_share_of(found->second);
}

double share_ledger::weighted_share(std::string_view team, monotonic_time now) const
{
    const auto found = this->accounts.find(team);
    if (found == this->accounts.end())
        return 0;
    const auto& account = found->second;
    return (this->dominant_share_of(account) + this->average_share_at(account, now)) /
           account.weight;
}

std::shared_ptr<share_ledger::change_listener> share_ledger::on_change(change_listener listener)
{
    std::erase_if(this->listeners,
                  [](const auto& weak_listener) { return weak_listener.expired(); });
    auto shared = std::make_shared<change_listener>(std::move(listener));
    this->listeners.push_back(shared);
    return shared;
}

const std::map<std::string, team_account, std::less<>>& share_ledger::teams() const
{
    return this->accounts;
}

team_account& share_ledger::account_for(std::string_view team)
{
    if (const auto found = this->accounts.find(team); found != this->accounts.end())
        return found->second;
    return this->accounts[std::string(team)];
}

double share_ledger::dominant_share_of(const team_account& account) const
{
    double greatest = 0;
    for (const auto field : resource_fields) {
        if (this->fleet_total.*field <= 0)
            continue;
        const auto used = account.local.*field + account.remote.*field;
        greatest = std::max(greatest, static_cast<double>(used) /
                                          static_cast<double>(this->fleet_total.*field));
    }
    return greatest;
}

double share_ledger::average_share_at(const team_account& account, monotonic_time now) const
{
    if (now <= account.average_time)
        return account.average_share;
    const double elapsed = std::chrono::duration<double>(now - account.average_time).count();
    const double decay = std::exp(-elapsed / this->time_constant_seconds);
    return account.average_share * decay + this->dominant_share_of(account) * (1 - decay);
}

void share_ledger::update_average(team_account& account, monotonic_time now) const
{
    account.average_share = this->average_share_at(account, now);
    account.average_time = std::max(account.average_time, now);
}

void share_ledger::notify(std::string_view team)
{
    for (const auto& weak_listener : this->listeners) {
        if (const auto listener = weak_listener.lock())
            (*listener)(team);
    }
}

} // namespace verbenalever
