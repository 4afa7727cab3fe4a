#include "coordinator/team_ledger.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Of a peak this much is left after each age interval: a third after ten seconds.
constexpr double peak_fade = 0.98;
/// A team counts as over its share from this many times its share on: below it the difference is
/// that of a few tasks.
constexpr double share_tolerance = 1.15;

/// Apply @p change to each amount of @p left and its counterpart in @p right.
template <typename Change>
void each_amount(resources& left, const resources& right, Change change)
{
    change(left.slots, right.slots);
    change(left.processors_milli, right.processors_milli);
    change(left.memory_mb, right.memory_mb);
    change(left.accelerators, right.accelerators);
}

} // namespace

void team_ledger::take(std::string_view team, const resources& need, bool urgent)
{
    auto found = this->accounts.find(team);
    if (found == this->accounts.end())
        found = this->accounts.emplace(team, account{}).first;
    auto& held = found->second;
    held.used += need;
    if (!urgent)
        return;
    held.urgent += need;
    each_amount(held.urgent_peak, held.urgent,
                [](std::int64_t& peak, std::int64_t now) { peak = std::max(peak, now); });
}

void team_ledger::give_back(std::string_view team, const resources& need, bool urgent)
{
    const auto found = this->accounts.find(team);
    if (found == this->accounts.end())
        return;
    found->second.used -= need;
    if (urgent)
        found->second.urgent -= need;
}

void team_ledger::suspect(std::string_view team, const resources& need)
{
    auto found = this->accounts.find(team);
    if (found == this->accounts.end())
        found = this->accounts.emplace(team, account{}).first;
    found->second.suspected += need;
}

void team_ledger::clear(std::string_view team, const resources& need)
{
    if (const auto found = this->accounts.find(team); found != this->accounts.end())
        found->second.suspected -= need;
}

void team_ledger::withhold(std::string_view team, const resources& need, std::uint32_t runs)
{
    if (const auto found = this->accounts.find(team); found != this->accounts.end()) {
        for (std::uint32_t run = 0; run < runs; ++run)
            found->second.withheld += need;
    }
}

void team_ledger::release_withheld()
{
    for (auto& [team, held] : this->accounts)
        held.withheld = {};
}

std::uint32_t team_ledger::fits(std::string_view team, const resources& limit,
                                const resources& need, std::uint32_t wanted, bool urgent) const
{
    const auto found = this->accounts.find(team);
    auto taken =
        found == this->accounts.end() ? resources{} : found->second.used + found->second.suspected;
    if (found != this->accounts.end() && !urgent) {
        const auto& held = found->second;
        taken += held.urgent_peak - held.urgent + held.withheld;
    }
    std::int64_t most = wanted;
    const auto bound = [&most](std::int64_t all, std::int64_t used, std::int64_t each) {
        if (all > 0 && each > 0)
            most = std::min(most, std::max<std::int64_t>(0, all - used) / each);
    };
    bound(limit.processors_milli, taken.processors_milli, need.processors_milli);
    bound(limit.memory_mb, taken.memory_mb, need.memory_mb);
    bound(limit.accelerators, taken.accelerators, need.accelerators);
    return static_cast<std::uint32_t>(most);
}

void team_ledger::age()
{
    for (auto& [team, held] : this->accounts) {
        each_amount(held.urgent_peak, held.urgent, [](std::int64_t& peak, std::int64_t now) {
            peak = std::max(now, static_cast<std::int64_t>(static_cast<double>(peak) * peak_fade));
        });
    }
}

bool team_ledger::over_share(std::string_view team, double weight, double all_weights,
                             const resources& fleet) const
{
    const auto found = this->accounts.find(team);
    if (found == this->accounts.end() || all_weights <= 0)
        return false;
    const double share = weight / all_weights * static_cast<double>(fleet.processors_milli);
    return static_cast<double>(found->second.used.processors_milli) > share * share_tolerance;
}

} // namespace verbenalever
