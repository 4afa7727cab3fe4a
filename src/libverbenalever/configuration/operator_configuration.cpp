#include "configuration/operator_configuration.h"

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
constexpr std::int64_t most_units = 1'000'000'000;
constexpr std::int64_t longest_queue = 1'000'000;
constexpr double most_processors = 1e6;
constexpr double thousandths = 1000;
constexpr std::size_t sha256_hex_length = 64;

resources read_resources(yaml_mapping& source, std::int64_t fallback)
{
    return {.slots = source.integer("slots", 0, most_units, fallback),
            .processors_milli = static_cast<std::int64_t>(
                source.number("processors", 0, most_processors,
                              static_cast<double>(fallback) / thousandths) *
                thousandths),
            .memory_mb = source.megabytes("memory", fallback),
            .accelerators = source.integer("accelerators", 0, most_units, fallback)};
}

void read_team(operator_configuration& result, const std::string& name, yaml_mapping& source)
{
    team_configuration team{.name = name, .limit = std::nullopt};
    team.share = source.number("share", 0, most_processors, team.share);
    if (source.has("limit"))
        source.child("limit", [&team](yaml_mapping& limit) {
            team.limit = read_resources(limit, most_units);
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
        source.integer("length_limit", 0, longest_queue, queue.length_limit));
    if (source.has("demand"))
        source.child("demand",
                     [&queue](yaml_mapping& demand) { queue.demand = read_resources(demand, 0); });
    result.queues.emplace(name, queue);
}

key_configuration read_key(yaml_mapping& source, bool with_team)
{
    key_configuration key{.id = source.text("id"),
                          .team = with_team ? source.text("team") : std::string(),
                          .sha256 = source.text("sha256")};
    const bool hexadecimal = std::ranges::all_of(key.sha256, [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    });
    if (source.has("sha256") && (key.sha256.size() != sha256_hex_length || !hexadecimal))
        source.report("sha256", "is not 64 lower-case hexadecimal digits");
    return key;
}

void read_keys(operator_configuration& result, yaml_mapping& root)
{
    root.elements("keys", [&result](yaml_mapping& source) {
        auto key = read_key(source, true);
        if (!key.team.empty() && !result.teams.contains(key.team))
            source.report("team", fmt::format("there is no team '{}'", key.team));
        result.keys.push_back(std::move(key));
    });
    root.elements("operator_keys", [&result](yaml_mapping& source) {
        result.operator_keys.push_back(read_key(source, false));
    });
}

} // namespace

absl::StatusOr<operator_configuration> operator_configuration::parse(std::string_view text,
                                                                     std::string_view file)
{
    const auto node = parse_yaml(text, file);
    if (!node.ok())
        return node.status();
    yaml_problems problems{std::string(file)};
    yaml_mapping root(*node, "", problems);
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
        if (source.choice("state", zone_states, "in") == "out")
            result.availability_zones_out.insert(name);
    });
    root.finish();
    if (!problems.empty())
        return problems.status();
    return result;
}

} // namespace verbenalever
