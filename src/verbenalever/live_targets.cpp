#include "live_targets.h"

#include "flags.h"
#include "scheduling/resources_json.h"
#include "session.h"

#include <fmt/format.h>

#include <map>
#include <string>
#include <string_view>

namespace tool {

namespace {

using verbenalever::vm_record;

/// @return the list @p name of the administration API at the entry @p address
absl::StatusOr<nlohmann::json> read_list(session& current_session, std::string_view address,
                                         std::string_view name)
{
    const auto result =
        current_session.call_entry(address, "GET", fmt::format("/v1/admin/{}", name));
    if (!result.success())
        return absl::UnavailableError(fmt::format("{}: {}", address, describe_failure(result)));
    auto body = nlohmann::json::parse(result.body, nullptr, /*allow_exceptions=*/false);
    if (!body.is_object() || !body.contains(name) || !body[std::string(name)].is_array())
        return absl::UnavailableError(fmt::format("{}: no list of {}", address, name));
    return std::move(body[std::string(name)]);
}

/// @return the targets that the entry at @p address lists: those of its own zone
absl::StatusOr<std::vector<vm_record>> read_targets(session& current_session,
                                                    std::string_view address)
{
    const auto rows = read_list(current_session, address, "targets");
    if (!rows.ok())
        return rows.status();
    std::vector<vm_record> targets;
    for (const auto& row : *rows)
        targets.push_back({.name = row.at("name").get<std::string>(),
                           .availability_zone = row.at("availability_zone").get<std::string>(),
                           .capacity = row.at("capacity").get<verbenalever::resources>()});
    return targets;
}

absl::StatusOr<std::vector<vm_record>> read_targets_of_all_zones(session& current_session)
{
    const auto entries = read_list(current_session, FLAGS_entry, "entries");
    if (!entries.ok())
        return entries.status();
    std::vector<vm_record> targets;
    std::map<std::string, absl::Status> status_by_zone;
    for (const auto& entry : *entries) {
        const auto zone = entry.at("availability_zone").get<std::string>();
        auto& status =
            status_by_zone.try_emplace(zone, absl::UnavailableError("no live entry")).first->second;
        if (!entry.value("alive", false))
            continue;
        const auto of_entry =
            read_targets(current_session, entry.at("http").get_ref<const std::string&>());
        if (of_entry.ok())
            targets.insert(targets.end(), of_entry->begin(), of_entry->end());
        // An entry that has just started may not know all targets of its zone: each entry is asked,
        // and one that answers is enough.
        if (!status.ok())
            status = of_entry.status();
    }
    for (const auto& [zone, status] : status_by_zone) {
        if (!status.ok())
            return absl::UnavailableError(
                fmt::format("availability zone {}: {}", zone, std::string(status.message())));
    }
    return targets;
}

} // namespace

absl::StatusOr<std::vector<vm_record>> read_live_targets(session& current_session)
{
    try {
        return read_targets_of_all_zones(current_session);
    }
    catch (const nlohmann::json::exception& error) {
        return absl::UnavailableError(fmt::format("the answer is malformed: {}", error.what()));
    }
}

} // namespace tool
