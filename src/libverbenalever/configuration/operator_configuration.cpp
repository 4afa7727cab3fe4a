#include "configuration/operator_configuration.h"

#include "configuration/configuration_edit.h"
#include "settings/yaml_file.h"
#include "settings/yaml_mapping.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace verbenalever {

namespace {

constexpr std::array<std::string_view, 3> policies{"share", "strict", "fifo"};
constexpr std::array<std::string_view, 3> work_classes{"urgent", "batch", "service"};
constexpr std::array<std::string_view, 8> placements{
    "",           "best_fit",  "spread",         "least_loaded", "two_choices",
    "random_fit", "first_fit", "expected_finish"};
constexpr std::array<std::string_view, 2> zone_states{"in", "out"};
constexpr std::array zone_drains{zone_drain_let_end, zone_drain_move};
constexpr std::int64_t max_units = unlimited_units;
constexpr std::int64_t max_queue_length = 1'000'000;
constexpr double most_processors = 1e6;
constexpr double milli_per_unit = 1000;
constexpr std::size_t sha256_hex_length = 64;

void read_team(operator_configuration& result, const std::string& name, yaml_mapping& source)
{
    team_configuration team{.name = name, .limit = std::nullopt};
    team.share = source.number("share", 0, most_processors, team.share);
    if (source.has("limit"))
        source.child("limit", [&team](yaml_mapping& limit) {
            team.limit = read_resources(limit, max_units);
        });
    result.teams.emplace(name, team);
}

void read_queue(operator_configuration& result, const std::string& name, yaml_mapping& source)
{
    queue_configuration queue{.name = name};
    queue.work_class = source.choice("class", work_classes, queue.work_class);
    queue.priority = static_cast<int>(source.integer("priority", 0, 1000, queue.priority));
    queue.aging = source.duration("aging", queue.aging);
    queue.placement = source.choice("placement", placements, queue.placement);
    queue.open = source.flag("open", queue.open);
    queue.stopped = source.flag("stopped", queue.stopped);
    queue.deadline = source.duration("deadline", queue.deadline);
    queue.length_limit = static_cast<std::size_t>(
        source.integer("length_limit", 0, max_queue_length, queue.length_limit));
    if (source.has("demand"))
        source.child("demand",
                     [&queue](yaml_mapping& demand) { queue.demand = read_resources(demand, 0); });
    result.queues.emplace(name, queue);
}

/// @param ids of the keys read so far; keys are withdrawn by id, so each id must be unique
key_configuration read_key(yaml_mapping& source, bool with_team,
                           std::set<std::string, std::less<>>& ids)
{
    key_configuration key{.id = source.text("id"),
                          .team = with_team ? source.text("team") : std::string(),
                          .sha256 = source.text("sha256")};
    if (source.has("id") && (key.id.empty() || !ids.insert(key.id).second))
        source.report("id", fmt::format("'{}' is empty or already used by another key", key.id));
    const bool hexadecimal = std::ranges::all_of(key.sha256, [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    });
    if (source.has("sha256") && (key.sha256.size() != sha256_hex_length || !hexadecimal))
        source.report("sha256", "is not 64 lower-case hexadecimal digits");
    return key;
}

void read_keys(operator_configuration& result, yaml_mapping& root)
{
    std::set<std::string, std::less<>> ids;
    root.elements("keys", [&result, &ids](yaml_mapping& source) {
        auto key = read_key(source, true, ids);
        if (!key.team.empty() && !result.teams.contains(key.team))
            source.report("team", fmt::format("there is no team '{}'", key.team));
        result.keys.push_back(std::move(key));
    });
    root.elements("operator_keys", [&result, &ids](yaml_mapping& source) {
        result.operator_keys.push_back(read_key(source, false, ids));
    });
}

void read_zone(operator_configuration& result, const std::string& name, yaml_mapping& source)
{
    const auto state = source.choice("state", zone_states, "in");
    const auto drain = source.choice("drain", zone_drains, std::string(zone_drain_let_end));
    if (state != "out")
        return;
    result.availability_zones_out.insert(name);
    if (drain == zone_drain_move)
        result.availability_zones_moving.insert(name);
}

} // namespace

resources read_resources(yaml_mapping& source, std::int64_t fallback)
{
    return {.slots = source.integer("slots", 0, max_units, fallback),
            .processors_milli = static_cast<std::int64_t>(
                source.number("processors", 0, most_processors,
                              static_cast<double>(fallback) / milli_per_unit) *
                milli_per_unit),
            .memory_mb = source.megabytes("memory", fallback),
            .accelerators = source.integer("accelerators", 0, max_units, fallback)};
}

absl::StatusOr<operator_configuration> operator_configuration::parse(std::string_view text,
                                                                     std::string_view file)
{
    const auto node = parse_yaml(text, file);
    if (!node.ok())
        return node.status();
    yaml_problems problems{std::string(file)};
    auto result = operator_configuration::read(*node, problems);
    if (!problems.empty())
        return problems.status();
    return result;
}

operator_configuration operator_configuration::read(const YAML::Node& node, yaml_problems& problems)
{
    yaml_mapping root(node, "", problems);
    operator_configuration result;
    result.policy = root.choice("policy", policies, result.policy);
    root.each("teams", [&result](const std::string& name, yaml_mapping& source) {
        read_team(result, name, source);
    });
    root.each("queues", [&result](const std::string& name, yaml_mapping& source) {
        read_queue(result, name, source);
    });
    read_keys(result, root);
    root.each("availability_zones", [&result](const std::string& name, yaml_mapping& source) {
        read_zone(result, name, source);
    });
    root.finish();
    return result;
}

} // namespace verbenalever
