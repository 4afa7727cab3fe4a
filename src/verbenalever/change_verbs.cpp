#include "change_verbs.h"

#include "access/key_digest.h"
#include "change_report.h"
#include "exit_codes.h"
#include "flags.h"
#include "loop/unique_id.h"
#include "session.h"

#include <fmt/format.h>

#include <cstdio>

namespace tool {

namespace {

using arguments_view = std::span<const std::string>;

constexpr std::size_t key_bytes = 24;
constexpr std::size_t key_id_bytes = 4;

/// Print the usage to standard error if the number of arguments is not @p count.
/// @param usage the verb and its arguments
/// @return whether there are @p count arguments
bool check_argument_count(arguments_view arguments, std::size_t count, std::string_view usage)
{
    if (arguments.size() == count)
        return true;
    fmt::print(stderr, "verbenalever: usage: {}\n", usage);
    return false;
}

/// Send a change and print its result.
/// @param body sent as JSON; null for an empty body
/// @return the exit code
int submit_change(session& current_session, std::string_view method, std::string_view path,
                  const nlohmann::json& body)
{
    return report_change(
        send_change(current_session, method, path, body.is_null() ? "" : body.dump()));
}

/// Send a restriction, which takes effect at once and does not need the store.
int submit_restriction(session& current_session, nlohmann::json body)
{
    return submit_change(current_session, "POST", "restrictions", body);
}

/// Generate a key, send its SHA-256 for the entry to grant it, and print the key. The key is also
/// printed when the outcome is unknown, since it may have been granted.
/// @param team team that the key belongs to; empty for an operator's key
/// @param id_prefix start of the key's generated id, used without --id
int grant_key(session& current_session, const std::string& team, const std::string& id_prefix)
{
    const auto key = verbenalever::random_hex(key_bytes);
    nlohmann::json body = {
        {"id", FLAGS_id.empty()
                   ? fmt::format("{}-{}", id_prefix, verbenalever::random_hex(key_id_bytes))
                   : FLAGS_id},
        {"sha256", verbenalever::key_digest(key)}};
    if (!team.empty())
        body["team"] = team;
    const int code = submit_change(current_session, "POST", "keys", body);
    if (code == exit_ok || code == exit_unknown)
        fmt::print("id   {}\nkey  {}\nThe key is not stored anywhere: save it now.\n",
                   body["id"].get<std::string>(), key);
    return code;
}

} // namespace

int run_zone_out(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 1, "zone out NAME"))
        return exit_usage;
    return submit_restriction(
        current_session, {{"kind", "zone_out"}, {"subject", arguments[0]}, {"drain", FLAGS_drain}});
}

int run_zone_in(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 1, "zone in NAME"))
        return exit_usage;
    return submit_change(current_session, "POST",
                         fmt::format("availability_zones/{}/in", encode_path_segment(arguments[0])),
                         nullptr);
}

int run_queue_stop(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 1, "queue stop NAME"))
        return exit_usage;
    return submit_restriction(current_session, {{"kind", "stop_queue"}, {"subject", arguments[0]}});
}

int run_queue_start(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 1, "queue start NAME"))
        return exit_usage;
    return submit_change(current_session, "PATCH",
                         fmt::format("queues/{}", encode_path_segment(arguments[0])),
                         {{"stopped", false}});
}

int run_team_add(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 1, "team add NAME"))
        return exit_usage;
    return submit_change(current_session, "POST", "teams", {{"name", arguments[0]}});
}

int run_team_remove(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 1, "team remove NAME"))
        return exit_usage;
    return submit_change(current_session, "DELETE",
                         fmt::format("teams/{}", encode_path_segment(arguments[0])), nullptr);
}

int run_team_share(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 2, "team share NAME SHARE"))
        return exit_usage;
    return submit_change(current_session, "PATCH",
                         fmt::format("teams/{}", encode_path_segment(arguments[0])),
                         {{"share", arguments[1]}});
}

int run_team_limit(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 2, "team limit NAME JSON, e.g. '{\"slots\": 40}' or null"))
        return exit_usage;
    const auto limit = nlohmann::json::parse(arguments[1], nullptr, false);
    if (limit.is_discarded()) {
        fmt::print(stderr, "verbenalever: '{}' is not valid JSON\n", arguments[1]);
        return exit_usage;
    }
    if (FLAGS_lower)
        return submit_restriction(
            current_session,
            {{"kind", "lower_limit"}, {"subject", arguments[0]}, {"limit", limit}});
    return submit_change(current_session, "PATCH",
                         fmt::format("teams/{}", encode_path_segment(arguments[0])),
                         {{"limit", limit}});
}

int run_key_grant(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 1, "key grant TEAM"))
        return exit_usage;
    return grant_key(current_session, arguments[0], arguments[0]);
}

int run_key_grant_operator(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 0, "key grant-operator"))
        return exit_usage;
    return grant_key(current_session, "", "operator");
}

int run_key_withdraw(session& current_session, arguments_view arguments)
{
    if (!check_argument_count(arguments, 1, "key withdraw ID"))
        return exit_usage;
    return submit_change(current_session, "DELETE",
                         fmt::format("keys/{}", encode_path_segment(arguments[0])), nullptr);
}

} // namespace tool
