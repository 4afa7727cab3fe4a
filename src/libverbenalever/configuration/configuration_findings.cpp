#include "configuration/configuration_findings.h"

#include "configuration/operator_configuration.h"
#include "ports/fleet_configuration.h"
#include "store/vm_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace verbenalever {

namespace {

using kind = configuration_finding::kind;

void check_queue(const operator_configuration& configuration, const queue_configuration& queue,
                 std::vector<configuration_finding>& findings)
{
    const auto path = fmt::format("queues.{}", queue.name);
    if (!queue.open && configuration.keys.empty())
        findings.push_back({kind::never_matches, path, "needs a key, and no team has one"});
    if (queue.length_limit == 0)
        findings.push_back(
            {kind::contradictory_limits, path, "length_limit is 0: all work is refused"});
    const auto fits = [&queue](const auto& team) {
        return !team.second.limit || queue.demand.fits_within(*team.second.limit);
    };
    if (!queue.open && !configuration.teams.empty() &&
        std::ranges::none_of(configuration.teams, fits))
        findings.push_back({kind::contradictory_limits, path,
                            "demand of one task is above the limit of every team"});
}

void check_team(const operator_configuration& configuration, const team_configuration& team,
                std::vector<configuration_finding>& findings)
{
    const auto path = fmt::format("teams.{}", team.name);
    const bool needs_key = !configuration.queues.empty() &&
                           std::ranges::none_of(configuration.queues, [](const auto& queue) {
                               return queue.second.open;
                           });
    if (needs_key && std::ranges::find(configuration.keys, team.name, &key_configuration::team) ==
                         configuration.keys.end())
        findings.push_back({kind::never_matches, path, "has no key, and every queue needs one"});
    if (!team.limit)
        return;
    const auto fits = [&team](const auto& queue) {
        return queue.second.demand.fits_within(*team.limit);
    };
    if (!configuration.queues.empty() && std::ranges::none_of(configuration.queues, fits))
        findings.push_back({kind::contradictory_limits, path,
                            "limit is below the demand of one task in every queue"});
}

/// A key is looked up by its digest alone: the first one that has it is found.
void check_keys(std::span<const key_configuration> keys, std::string_view list,
                std::map<std::string_view, std::string>& found_by_digest,
                std::vector<configuration_finding>& findings)
{
    for (std::size_t index = 0; index < keys.size(); ++index) {
        const auto& key = keys[index];
        const auto [first, added] = found_by_digest.try_emplace(key.sha256, key.id);
        if (!added)
            findings.push_back(
                {kind::never_matches, fmt::format("{}[{}]", list, index),
                 fmt::format("'{}' has the same sha256 as '{}'", key.id, first->second)});
    }
}

void check_platform_queue(const fleet_configuration& configuration, std::size_t index,
                          const std::set<std::string>& used_pools,
                          std::vector<configuration_finding>& findings)
{
    const auto& queue = configuration.queues[index];
    const auto path = fmt::format("routes[{}]", index);
    const auto before = std::span(configuration.queues).first(index);
    const auto same_address = std::ranges::find_if(before, [&queue](const auto& other) {
        return other.host == queue.host && other.prefix == queue.prefix;
    });
    if (same_address != before.end())
        findings.push_back({kind::never_matches, path,
                            fmt::format("'{}' is hidden by '{}' with the same host and prefix",
                                        queue.name, same_address->name)});
    if (std::ranges::find(before, queue.name, &queue_definition::name) != before.end())
        findings.push_back({kind::never_matches, path,
                            fmt::format("an earlier route has the name '{}' too", queue.name)});
    if (!used_pools.empty() && !used_pools.contains(queue.pool))
        findings.push_back(
            {kind::never_matches, path,
             fmt::format("'{}' uses '{}', which has no targets", queue.name, queue.pool)});
}

void check_platform_team(const fleet_configuration& configuration, std::size_t index,
                         std::vector<configuration_finding>& findings)
{
    const auto& team = configuration.teams[index];
    const auto path = fmt::format("tenants[{}]", index);
    const auto before = std::span(configuration.teams).first(index);
    if (std::ranges::find(before, team.name, &team_definition::name) != before.end())
        findings.push_back({kind::never_matches, path,
                            fmt::format("an earlier tenant has the name '{}' too", team.name)});
    const bool needs_key = !configuration.queues.empty() &&
                           std::ranges::none_of(configuration.queues, &queue_definition::open);
    if (team.keys.empty() && needs_key)
        findings.push_back({kind::never_matches, path,
                            fmt::format("'{}' has no key, and every route needs one", team.name)});
    for (std::size_t number = 0; number < team.keys.size(); ++number) {
        const auto* first = configuration.find_team_by_key(team.keys[number]);
        // The key itself must not be printed.
        if (first != &team)
            findings.push_back({kind::never_matches, fmt::format("{}.apiKeys[{}]", path, number),
                                fmt::format("'{}' has the same key", first->name)});
    }
}

} // namespace

std::vector<configuration_finding> find_mistakes(const operator_configuration& configuration)
{
    std::vector<configuration_finding> findings;
    for (const auto& [name, team] : configuration.teams)
        check_team(configuration, team, findings);
    for (const auto& [name, queue] : configuration.queues)
        check_queue(configuration, queue, findings);
    std::map<std::string_view, std::string> found_by_digest;
    check_keys(configuration.keys, "keys", found_by_digest, findings);
    found_by_digest.clear();
    check_keys(configuration.operator_keys, "operator_keys", found_by_digest, findings);
    return findings;
}

std::vector<configuration_finding> find_mistakes(const fleet_configuration& configuration,
                                                 const std::set<std::string>& used_pools)
{
    std::vector<configuration_finding> findings;
    for (std::size_t index = 0; index < configuration.queues.size(); ++index)
        check_platform_queue(configuration, index, used_pools, findings);
    for (std::size_t index = 0; index < configuration.teams.size(); ++index)
        check_platform_team(configuration, index, findings);
    return findings;
}

std::vector<configuration_finding>
find_queues_without_targets(const operator_configuration& configuration,
                            std::span<const vm_record> targets)
{
    const auto in_service = [&configuration](const vm_record& target) {
        return !configuration.availability_zones_out.contains(target.availability_zone);
    };
    const bool any_in_service = std::ranges::any_of(targets, in_service);
    std::vector<configuration_finding> findings;
    for (const auto& [name, queue] : configuration.queues) {
        const auto holds_a_task = [&in_service, &demand = queue.demand](const vm_record& target) {
            return in_service(target) && demand.fits_within(target.capacity);
        };
        if (std::ranges::none_of(targets, holds_a_task))
            findings.push_back({kind::never_matches, fmt::format("queues.{}", name),
                                any_in_service
                                    ? "demand of one task is above the capacity of every target"
                                    : "has no targets in a zone in service"});
    }
    return findings;
}

bool contains_kind(std::span<const configuration_finding> findings,
                   configuration_finding::kind what)
{
    return std::ranges::find(findings, what, &configuration_finding::what) != findings.end();
}

} // namespace verbenalever
