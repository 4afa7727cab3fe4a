#include "verbenalever/entry_settings.h"

#include "settings/yaml_file.h"
#include "settings/yaml_mapping.h"

namespace verbenalever {

namespace {

constexpr std::int64_t max_body_limit_bytes = 64 << 20;
constexpr std::int64_t min_memory_mb = 64;
constexpr std::int64_t max_memory_mb = 1 << 20;
constexpr std::int64_t highest_max_descriptors = 1 << 20;

void read_times(entry_settings& settings, yaml_mapping& root)
{
    root.child("times", [&settings](yaml_mapping& times) {
        settings.heartbeat_interval =
            times.duration("heartbeat_interval", settings.heartbeat_interval);
        settings.target_lease = times.duration("target_lease", settings.target_lease);
        settings.target_lease_renewal =
            times.duration("target_lease_renewal", settings.target_lease_renewal);
        settings.task_lease = times.duration("task_lease", settings.task_lease);
        settings.finished_job_rest =
            times.duration("finished_job_rest", settings.finished_job_rest);
        settings.vm_list_interval = times.duration("vm_list_interval", settings.vm_list_interval);
        settings.drain_timeout = times.duration("drain_timeout", settings.drain_timeout);
        if (settings.target_lease_renewal * 2 > settings.target_lease)
            times.report("target_lease_renewal", "must be at most half of target_lease");
        if (settings.task_lease <= settings.target_lease)
            times.report("task_lease", "must be longer than target_lease");
    });
}

void read_seeds(entry_settings& settings, yaml_mapping& root)
{
    for (const auto& text : root.texts("seeds")) {
        if (auto seed = endpoint::parse(text); seed.ok())
            settings.seeds.push_back(*std::move(seed));
        else
            root.report("seeds", std::string(seed.status().message()));
    }
}

} // namespace

absl::StatusOr<entry_settings> entry_settings::parse(std::string_view text, std::string_view file)
{
    const auto node = parse_yaml(text, file);
    if (!node.ok())
        return node.status();
    yaml_problems problems{std::string(file)};
    yaml_mapping root(*node, "", problems);
    entry_settings settings;
    settings.name = root.text("name");
    settings.availability_zone = root.text("availability_zone");
    settings.http = root.address("http");
    settings.peer = root.address("peer");
    settings.platform = root.address("platform");
    settings.operator_keys = root.texts("operator_keys");
    settings.body_limit_bytes = static_cast<std::size_t>(
        root.integer("body_limit_bytes", 1, max_body_limit_bytes, settings.body_limit_bytes));
    settings.memory_mb = static_cast<std::size_t>(
        root.integer("memory_mb", min_memory_mb, max_memory_mb, settings.memory_mb));
    settings.max_descriptors = static_cast<std::size_t>(
        root.integer("max_descriptors", 0, highest_max_descriptors, settings.max_descriptors));
    read_seeds(settings, root);
    read_times(settings, root);
    root.finish();
    if (!problems.empty())
        return problems.status();
    return settings;
}

} // namespace verbenalever
