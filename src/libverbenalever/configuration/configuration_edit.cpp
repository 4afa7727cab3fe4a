#include "configuration/configuration_edit.h"

#include "configuration/key_configuration.h"
#include "configuration/operator_configuration.h"
#include "settings/yaml_mapping.h"

#include <fmt/format.h>

namespace verbenalever {

namespace {

constexpr double milli_per_unit = 1000;

/// @return the mapping under @p name, which is created if it is absent or empty in the YAML
YAML::Node ensure_mapping(YAML::Node root, const std::string& name)
{
    if (!root[name].IsDefined() || !root[name].IsMap())
        root[name] = YAML::Node(YAML::NodeType::Map);
    return root[name];
}

} // namespace

void remove_key(YAML::Node& root, const std::string& list, std::string_view id)
{
    const auto present = root[list];
    if (!present.IsDefined() || !present.IsSequence())
        return;
    YAML::Node remaining(YAML::NodeType::Sequence);
    for (const auto& key : present) {
        if (!key.IsMap() || key["id"].Scalar() != id)
            remaining.push_back(key);
    }
    root[list] = remaining;
}

void add_key(YAML::Node& root, const std::string& list, const key_configuration& key)
{
    if (!root[list].IsDefined() || !root[list].IsSequence())
        root[list] = YAML::Node(YAML::NodeType::Sequence);
    YAML::Node added;
    added["id"] = key.id;
    if (!key.team.empty())
        added["team"] = key.team;
    added["sha256"] = key.sha256;
    root[list].push_back(added);
}

void set_zone_state(YAML::Node& root, const std::string& zone, std::string_view state,
                    std::string_view drain)
{
    YAML::Node value;
    value["state"] = std::string(state);
    if (state == "out" && !drain.empty())
        value["drain"] = std::string(drain);
    ensure_mapping(root, "availability_zones")[zone] = value;
}

void set_team_limit(YAML::Node& root, const std::string& team, const resources& limit)
{
    YAML::Node value(YAML::NodeType::Map);
    if (limit.slots < unlimited_units)
        value["slots"] = limit.slots;
    if (limit.processors_milli < unlimited_units)
        value["processors"] = static_cast<double>(limit.processors_milli) / milli_per_unit;
    if (limit.memory_mb < unlimited_units)
        value["memory"] = fmt::format("{}MB", limit.memory_mb);
    if (limit.accelerators < unlimited_units)
        value["accelerators"] = limit.accelerators;
    auto settings = ensure_mapping(ensure_mapping(root, "teams"), team);
    settings["limit"] = value;
}

resources read_limit(const YAML::Node& limit)
{
    yaml_problems ignored("configuration");
    yaml_mapping source(limit, "limit", ignored);
    return read_resources(source, unlimited_units);
}

void set_queue_stopped(YAML::Node& root, const std::string& queue, bool stopped)
{
    ensure_mapping(ensure_mapping(root, "queues"), queue)["stopped"] = stopped;
}

std::string to_yaml_text(const YAML::Node& root)
{
    YAML::Emitter out;
    out << root;
    return std::string(out.c_str(), out.size()) + "\n";
}

} // namespace verbenalever
