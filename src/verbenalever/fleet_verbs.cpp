#include "fleet_verbs.h"

#include "exit_codes.h"
#include "flags.h"
#include "session.h"
#include "table.h"

#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <map>

namespace tool {

namespace {

using verbenalever::milliseconds;

/// One list of the administration API and the columns of its table.
struct resource_list {
    std::string_view
        name; ///< last segment of the path, and the member of the response that holds the rows
    std::span<const column> columns;
};

constexpr std::array entry_columns{
    column{"entry", "name"},  column{"zone", "availability_zone"}, column{"http", "http"},
    column{"alive", "alive"}, column{"draining", "draining"},      column{"revision", "revision"}};
constexpr std::array target_columns{column{"target", "name"},
                                    column{"zone", "availability_zone"},
                                    column{"rack", "rack"},
                                    column{"held", "held"},
                                    column{"starts", "may_start"},
                                    column{"slots used", "reserved.slots"},
                                    column{"slots", "capacity.slots"},
                                    column{"MB used", "reserved.memory_mb"},
                                    column{"MB", "capacity.memory_mb"}};
constexpr std::array team_columns{column{"team", "name"}, column{"share", "share"},
                                  column{"limit", "limit"}};
constexpr std::array queue_columns{column{"queue", "name"},
                                   column{"class", "class"},
                                   column{"priority", "priority"},
                                   column{"open", "open"},
                                   column{"stopped", "stopped"},
                                   column{"deadline ms", "deadline_ms"},
                                   column{"length limit", "length_limit"}};
constexpr std::array zone_columns{column{"zone", "name"}, column{"state", "state"},
                                  column{"drain", "drain"}};
constexpr std::array key_columns{column{"key", "id"}, column{"team", "team"},
                                 column{"operator", "operator"}};
constexpr std::array restriction_columns{column{"restriction", "id"}, column{"kind", "kind"},
                                         column{"subject", "subject"}, column{"by", "by"}};

constexpr std::array resource_lists{resource_list{"entries", entry_columns},
                                    resource_list{"targets", target_columns},
                                    resource_list{"teams", team_columns},
                                    resource_list{"queues", queue_columns},
                                    resource_list{"availability_zones", zone_columns},
                                    resource_list{"keys", key_columns},
                                    resource_list{"restrictions", restriction_columns}};

/// Fetch the list @p name from the entry and print it as a table, or as JSON with --json.
/// @return the exit code
int print_list(session& current_session, std::string_view name)
{
    const auto result = current_session.call("GET", fmt::format("/v1/admin/{}", name));
    if (!result.success())
        return report_failure(result);
    if (FLAGS_json) {
        fmt::print("{}\n", result.body);
        return exit_ok;
    }
    const auto body = nlohmann::json::parse(result.body);
    for (const auto& list : resource_lists) {
        if (list.name == name)
            print_table(list.columns, body[std::string(name)]);
    }
    return exit_ok;
}

/// Ask every alive entry for the usage on the targets whose leases it holds. Entries that fail to
/// respond are skipped.
/// @return one row for each team with the slots that its running work uses
nlohmann::json usage_by_team(session& current_session, const nlohmann::json& entries)
{
    std::map<std::string, std::int64_t> slots;
    for (const auto& entry : entries) {
        if (!entry.value("alive", false))
            continue;
        const auto result =
            current_session.call_entry(entry.value("http", FLAGS_entry), "GET", "/v1/admin/use");
        if (!result.success())
            continue;
        const auto body = nlohmann::json::parse(result.body);
        for (const auto& [team, used] : body["teams"].items())
            slots[team] += used.value("slots", std::int64_t{0});
    }
    auto rows = nlohmann::json::array();
    for (const auto& [team, used] : slots)
        rows.push_back({{"team", team.empty() ? "(open queues)" : team}, {"slots", used}});
    return rows;
}

/// Print the tables of one iteration of "top".
/// @return the exit code
int show_fleet(session& current_session)
{
    const auto result = current_session.call("GET", "/v1/admin/entries");
    if (!result.success())
        return report_failure(result);
    const auto entries = nlohmann::json::parse(result.body)["entries"];
    print_table(entry_columns, entries);
    fmt::print("\nzones out\n");
    if (const int code = print_list(current_session, "availability_zones"); code != exit_ok)
        return code;
    fmt::print("\ntargets of {}'s zone\n", entries[0].value("name", ""));
    if (const int code = print_list(current_session, "targets"); code != exit_ok)
        return code;
    fmt::print("\nrunning, by team\n");
    constexpr std::array columns{column{"team", "team"}, column{"slots", "slots"}};
    print_table(columns, usage_by_team(current_session, entries));
    std::fflush(stdout);
    return exit_ok;
}

} // namespace

int run_entries(session& current_session, std::span<const std::string>)
{
    return print_list(current_session, "entries");
}

int run_targets(session& current_session, std::span<const std::string>)
{
    return print_list(current_session, "targets");
}

int run_teams(session& current_session, std::span<const std::string>)
{
    return print_list(current_session, "teams");
}

int run_queues(session& current_session, std::span<const std::string>)
{
    return print_list(current_session, "queues");
}

int run_zones(session& current_session, std::span<const std::string>)
{
    return print_list(current_session, "availability_zones");
}

int run_key_list(session& current_session, std::span<const std::string>)
{
    return print_list(current_session, "keys");
}

int run_restrictions(session& current_session, std::span<const std::string>)
{
    return print_list(current_session, "restrictions");
}

int run_drain(session& current_session, std::span<const std::string>)
{
    const auto result = current_session.call("POST", "/v1/admin/drain");
    if (!result.success())
        return report_failure(result);
    fmt::print("{} is draining\n", FLAGS_entry);
    return exit_ok;
}

int run_top(session& current_session, std::span<const std::string>)
{
    for (int iteration = 0; FLAGS_times == 0 || iteration < FLAGS_times; ++iteration) {
        if (iteration > 0)
            sleep_for(milliseconds(FLAGS_interval_ms));
        fmt::print("\n");
        if (const int code = show_fleet(current_session); code != exit_ok)
            return code;
    }
    return exit_ok;
}

} // namespace tool
