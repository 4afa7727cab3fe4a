#include "scheduling/share_ledger.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace verbenalever {

namespace {

/// Weight of a team whose share is zero: it comes after all others, but is not cut off.
constexpr double least_weight = 1e-6;

constexpr std::array<std::int64_t resources::*, 4> amounts{
    &resources::slots, &resources::processors_milli, &resources::memory_mb,
    &resources::accelerators};

} // namespace

share_ledger::share_ledger(milliseconds memory)
    : memory_seconds(std::chrono::duration<double>(memory).count())
{
}

void share_ledger::set_weights(const weights_by_team& weights)
{
    for (auto& [name, account] : this->accounts) {
        if (!weights.contains(name))
            account.weight = 1;
    }
    for (const auto& [name, weight] : weights)
        this->account_of(name).weight = std::max(weight, least_weight);
    for (const auto& [name, account] : this->accounts)
        this->tell(name);
}

void share_ledger::set_capacity(const resources& fleet)
{
    if (fleet == this->fleet)
        return;
    this->fleet = fleet;
    for (const auto& [name, account] : this->accounts)
        this->tell(name);
}

void share_ledger::add_local_usage(std::string_view team, const resources& change,
                                   monotonic_time now)
{
    auto& account = this->account_of(team);
    this->settle(account, now);
    account.own += change;
    this->tell(team);
}

void share_ledger::set_peer_usage(std::string_view peer, std::string_view team,
                                  const resources& use, monotonic_time now)
{
    auto& told = this->peers[std::string(peer)];
    auto& last = told[std::string(team)];
    if (last != use) {
        auto& account = this->account_of(team);
        this->settle(account, now);
        account.elsewhere += use - last;
        last = use;
        this->tell(team);
    }
    if (use == resources{})
        told.erase(told.find(team));
}

void share_ledger::remove_peer(std::string_view peer, monotonic_time now)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end())
        return;
    for (const auto& [team, use] : found->second) {
        auto& account = this->account_of(team);
        this->settle(account, now);
        account.elsewhere -= use;
        this->tell(team);
    }
    this->peers.erase(found);
}

std::vector<std::string> share_ledger::teams_reported_by(std::string_view peer,
                                                         std::string_view from) const
{
    std::vector<std::string> names;
    const auto found = this->peers.find(peer);
    if (found == this->peers.end())
        return names;
    const auto& told = found->second;
    for (auto place = told.lower_bound(from); place != told.end(); ++place)
        names.push_back(place->first);
    return names;
}

resources share_ledger::local_usage(std::string_view team) const
{
    const auto found = this->accounts.find(team);
    return found == this->accounts.end() ? resources{} : found->second.own;
}

resources share_ledger::total_usage(std::string_view team) const
{
    const auto found = this->accounts.find(team);
    return found == this->accounts.end() ? resources{}
                                         : found->second.own + found->second.elsewhere;
}

double share_ledger::dominant_share(std::string_view team) const
{
    const auto found = this->accounts.find(team);
    return found == this->accounts.end() ? 0 : this->dominant(found->second);
}

double share_ledger::weighted_share(std::string_view team, monotonic_time now) const
{
    const auto found = this->accounts.find(team);
    if (found == this->accounts.end())
        return 0;
    const auto& account = found->second;
    return (this->dominant(account) + this->average_at(account, now)) / account.weight;
}

std::shared_ptr<share_ledger::change_listener> share_ledger::on_change(change_listener listener)
{
    std::erase_if(this->listeners, [](const auto& known) { return known.expired(); });
    auto kept = std::make_shared<change_listener>(std::move(listener));
    this->listeners.push_back(kept);
    return kept;
}

const std::map<std::string, team_account, std::less<>>& share_ledger::teams() const
{
    return this->accounts;
}

team_account& share_ledger::account_of(std::string_view team)
{
    if (const auto found = this->accounts.find(team); found != this->accounts.end())
        return found->second;
    return this->accounts[std::string(team)];
}

double share_ledger::dominant(const team_account& account) const
{
    double greatest = 0;
    for (const auto amount : amounts) {
        if (this->fleet.*amount <= 0)
            continue;
        const auto taken = account.own.*amount + account.elsewhere.*amount;
        greatest = std::max(greatest,
                            static_cast<double>(taken) / static_cast<double>(this->fleet.*amount));
    }
    return greatest;
}

double share_ledger::average_at(const team_account& account, monotonic_time now) const
{
    if (now <= account.counted)
        return account.average;
    const double passed = std::chrono::duration<double>(now - account.counted).count();
    const double kept = std::exp(-passed / this->memory_seconds);
    return account.average * kept + this->dominant(account) * (1 - kept);
}

void share_ledger::settle(team_account& account, monotonic_time now) const
{
    account.average = this->average_at(account, now);
    account.counted = std::max(account.counted, now);
}

void share_ledger::tell(std::string_view team)
{
    for (const auto& known : this->listeners) {
        if (const auto listener = known.lock())
            (*listener)(team);
    }
}

} // namespace verbenalever
