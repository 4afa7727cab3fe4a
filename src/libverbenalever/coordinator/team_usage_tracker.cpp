#include "coordinator/team_usage_tracker.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Factor applied to peaks in each decay interval: a third is left after ten seconds.
constexpr double peak_decay = 0.98;
/// A team whose urgent work has not used any of a resource for this many decay intervals keeps
/// nothing of it for a next burst: two seconds, which less urgent work can wait.
constexpr int quiet_intervals_limit = 2000 / team_usage_tracker::peak_decay_interval_ms;
/// A team counts as over its share above this many times the share: below that the difference is a
/// few tasks.
constexpr double share_tolerance = 1.15;

/// Call @p change with each amount of @p left and the corresponding member of @p right.
template <typename Change>
void each_amount(resources& left, const resources& right, Change change)
{
    change(left.slots, right.slots);
    change(left.processors_milli, right.processors_milli);
    change(left.memory_mb, right.memory_mb);
    change(left.accelerators, right.accelerators);
}

} // namespace

void team_usage_tracker::add_run(std::string_view team, const resources& need, bool urgent)
{
    auto found = this->usage_by_team.find(team);
    if (found == this->usage_by_team.end())
        found = this->usage_by_team.emplace(team, usage_counts{}).first;
    auto& usage = found->second;
    usage.used += need;
    if (!urgent)
        return;
    usage.urgent += need;
    usage.quiet_intervals = 0;
    each_amount(usage.urgent_peak, usage.urgent,
                [](std::int64_t& peak, std::int64_t now) { peak = std::max(peak, now); });
}

void team_usage_tracker::remove_run(std::string_view team, const resources& need, bool urgent)
{
    const auto found = this->usage_by_team.find(team);
    if (found == this->usage_by_team.end())
        return;
    found->second.used -= need;
    if (urgent)
        found->second.urgent -= need;
}

void team_usage_tracker::add_possible_run(std::string_view team, const resources& need)
{
    auto found = this->usage_by_team.find(team);
    if (found == this->usage_by_team.end())
        found = this->usage_by_team.emplace(team, usage_counts{}).first;
    found->second.possible += need;
}

void team_usage_tracker::remove_possible_run(std::string_view team, const resources& need)
{
    if (const auto found = this->usage_by_team.find(team); found != this->usage_by_team.end())
        found->second.possible -= need;
}

void team_usage_tracker::reserve_for_urgent(std::string_view team, const resources& need,
                                            std::uint32_t runs)
{
    if (const auto found = this->usage_by_team.find(team); found != this->usage_by_team.end()) {
        for (std::uint32_t run = 0; run < runs; ++run)
            found->second.reserved_for_urgent += need;
    }
}

void team_usage_tracker::clear_urgent_reservations()
{
    for (auto& [team, usage] : this->usage_by_team)
        usage.reserved_for_urgent = {};
}

std::uint32_t team_usage_tracker::max_runs_beside(const resources& used, const resources& limit,
                                                  const resources& need, std::uint32_t wanted)
{
    std::int64_t max_runs = wanted;
    const auto bound = [&max_runs](std::int64_t all, std::int64_t in_use, std::int64_t each) {
        if (all > 0 && each > 0)
            max_runs = std::min(max_runs, std::max<std::int64_t>(0, all - in_use) / each);
    };
    bound(limit.processors_milli, used.processors_milli, need.processors_milli);
    bound(limit.memory_mb, used.memory_mb, need.memory_mb);
    bound(limit.accelerators, used.accelerators, need.accelerators);
    return static_cast<std::uint32_t>(max_runs);
}

std::uint32_t team_usage_tracker::max_runs_within_limit(std::string_view team,
                                                        const resources& limit,
                                                        const resources& need, std::uint32_t wanted,
                                                        bool urgent) const
{
    const auto found = this->usage_by_team.find(team);
    auto counted = found == this->usage_by_team.end() ? resources{}
                                                      : found->second.used + found->second.possible;
    if (found != this->usage_by_team.end() && !urgent) {
        const auto& usage = found->second;
        counted += usage.urgent_peak - usage.urgent + usage.reserved_for_urgent;
    }
    return max_runs_beside(counted, limit, need, wanted);
}

std::int64_t team_usage_tracker::processors_in_use(std::string_view team, bool urgent) const
{
    const auto found = this->usage_by_team.find(team);
    if (found == this->usage_by_team.end())
        return 0;
    const auto& usage = found->second;
    return urgent ? usage.urgent.processors_milli
                  : usage.used.processors_milli + usage.possible.processors_milli;
}

void team_usage_tracker::decay_urgent_peaks()
{
    for (auto& [team, usage] : this->usage_by_team) {
        usage.quiet_intervals = usage.urgent == resources{} ? usage.quiet_intervals + 1 : 0;
        if (usage.quiet_intervals >= quiet_intervals_limit)
            usage.urgent_peak = {};
        each_amount(usage.urgent_peak, usage.urgent, [](std::int64_t& peak, std::int64_t now) {
            peak = std::max(now, static_cast<std::int64_t>(static_cast<double>(peak) * peak_decay));
        });
    }
}

bool team_usage_tracker::exceeds_share(std::string_view team, double weight, double all_weights,
                                       const resources& fleet) const
{
    const auto found = this->usage_by_team.find(team);
    if (found == this->usage_by_team.end() || all_weights <= 0)
        return false;
    const double share = weight / all_weights * static_cast<double>(fleet.processors_milli);
    return static_cast<double>(found->second.used.processors_milli) > share * share_tolerance;
}

} // namespace verbenalever
