#include "administration/item_edits.h"

#include "administration/admin_routes.h"
#include "administration/change_responder.h"
#include "administration/configuration_api.h"
#include "administration/limit_json.h"
#include "configuration/configuration_edit.h"
#include "configuration/configuration_store.h"
#include "configuration/configuration_writer.h"
#include "http/problem.h"

#include <fmt/format.h>

#include <array>
#include <optional>

namespace verbenalever {

namespace {

constexpr milliseconds no_wait{0};

absl::Status not_found_error(std::string_view what, std::string_view name)
{
    return absl::NotFoundError(fmt::format("there is no {} '{}'", what, name));
}

/// Copy the scalar members of @p wanted into one item; they are validated when the configuration is
/// parsed.
void set_scalars(YAML::Node item, const nlohmann::json& wanted)
{
    for (const auto& [name, value] : wanted.items()) {
        if (name != "name" && name != "limit")
            item[name] = value.is_string() ? value.get<std::string>() : value.dump();
    }
}

/// @return the item, which is made a mapping if it is absent or empty
YAML::Node ensure_item(YAML::Node& root, const std::string& list, const std::string& name)
{
    if (!root[list].IsMap())
        root[list] = YAML::Node(YAML::NodeType::Map);
    YAML::Node items = root[list];
    if (!items[name].IsMap())
        items[name] = YAML::Node(YAML::NodeType::Map);
    return items[name];
}

/// The change of a team's limit in a request.
struct limit_change {
    bool named = false;             ///< whether the request has a limit member
    std::optional<resources> limit; ///< empty, while named is set, to remove the limit
};

absl::StatusOr<limit_change> read_limit_change(const nlohmann::json& body)
{
    if (!body.contains("limit"))
        return limit_change{};
    if (body["limit"].is_null())
        return limit_change{.named = true, .limit = std::nullopt};
    const auto limit = limit_from_json(body["limit"]);
    if (!limit.ok())
        return limit.status();
    return limit_change{.named = true, .limit = *limit};
}

void set_limit(YAML::Node& root, const std::string& team, const limit_change& wanted)
{
    if (wanted.limit)
        set_team_limit(root, team, *wanted.limit);
    else if (wanted.named)
        root["teams"][team].remove("limit");
}

} // namespace

item_edits::item_edits(configuration_store& configuration, configuration_writer& writer,
                       change_responder& responder)
    : configuration(configuration), writer(writer), responder(responder)
{
}

void item_edits::add_routes(admin_routes& routes)
{
    using action = void (item_edits::*)(const admin_request&, http_responder);
    /// A route and the member function that serves it.
    struct item_route {
        std::string_view method;
        std::string_view path;
        action serve;
    };
    constexpr std::array served{
        item_route{"POST", "/v1/admin/teams", &item_edits::add_team},
        item_route{"PATCH", "/v1/admin/teams/{name}", &item_edits::change_team},
        item_route{"DELETE", "/v1/admin/teams/{name}", &item_edits::remove_team},
        item_route{"PATCH", "/v1/admin/queues/{name}", &item_edits::change_queue},
        item_route{"POST", "/v1/admin/availability_zones/{name}/in", &item_edits::bring_zone_in},
        item_route{"POST", "/v1/admin/keys", &item_edits::grant_key}};
    for (const auto& route : served)
        routes.add(
            route.method, route.path,
            [this, serve = route.serve](const admin_request& request, http_responder respond) {
                (this->*serve)(request, std::move(respond));
            });
}

void item_edits::add_team(const admin_request& request, http_responder respond)
{
    const auto body = request.parse_body({"name", "share", "limit"});
    if (!body.ok())
        return respond(not_run_response(body.status(), "bad_team"));
    const auto name = text_member(*body, "name");
    const auto limit = read_limit_change(*body);
    if (!name.ok() || name->empty() || !limit.ok())
        return respond(not_run_response(
            !limit.ok() ? limit.status()
                        : absl::InvalidArgumentError("'name' must be a non-empty string"),
            "bad_team"));
    if (this->configuration.current().teams.contains(*name))
        return respond(not_run_response(
            absl::AlreadyExistsError(fmt::format("there is a team '{}'", *name)), "team_exists"));
    this->write(
        request, {},
        [&](YAML::Node& root) {
            set_scalars(ensure_item(root, "teams", *name), *body);
            set_limit(root, *name, *limit);
        },
        std::move(respond));
}

void item_edits::change_team(const admin_request& request, http_responder respond)
{
    const auto& name = request.parameters.at("name");
    const auto body = request.parse_body({"share", "limit"});
    if (!body.ok())
        return respond(not_run_response(body.status(), "bad_team"));
    const auto limit = read_limit_change(*body);
    if (!limit.ok())
        return respond(not_run_response(limit.status(), "bad_team"));
    if (!this->configuration.current().teams.contains(name))
        return respond(not_run_response(not_found_error("team", name), "no_such_team"));
    auto resolves = limit->named ? this->configuration.restrictions().find_ids("lower_limit", name)
                                 : std::vector<std::string>();
    this->write(
        request, std::move(resolves),
        [&](YAML::Node& root) {
            set_scalars(ensure_item(root, "teams", name), *body);
            set_limit(root, name, *limit);
        },
        std::move(respond));
}

void item_edits::remove_team(const admin_request& request, http_responder respond)
{
    const auto& name = request.parameters.at("name");
    if (!this->configuration.current().teams.contains(name))
        return respond(not_run_response(not_found_error("team", name), "no_such_team"));
    this->write(
        request, {}, [&name](YAML::Node& root) { root["teams"].remove(name); }, std::move(respond));
}

void item_edits::change_queue(const admin_request& request, http_responder respond)
{
    const auto& name = request.parameters.at("name");
    const auto body =
        request.parse_body({"class", "priority", "open", "stopped", "deadline", "length_limit"});
    if (!body.ok())
        return respond(not_run_response(body.status(), "bad_queue"));
    if (!this->configuration.current().queues.contains(name))
        return respond(not_run_response(not_found_error("queue", name), "no_such_queue"));
    auto resolves = body->contains("stopped")
                        ? this->configuration.restrictions().find_ids("stop_queue", name)
                        : std::vector<std::string>();
    this->write(
        request, std::move(resolves),
        [&](YAML::Node& root) { set_scalars(ensure_item(root, "queues", name), *body); },
        std::move(respond));
}

void item_edits::bring_zone_in(const admin_request& request, http_responder respond)
{
    const auto& zone = request.parameters.at("name");
    if (!this->configuration.current().availability_zones_out.contains(zone))
        return respond(not_run_response(
            absl::NotFoundError(fmt::format("availability zone '{}' is not out", zone)),
            "zone_not_out"));
    this->write(
        request, this->configuration.restrictions().find_ids("zone_out", zone),
        [&zone](YAML::Node& root) { set_zone_state(root, zone, "in", {}); }, std::move(respond));
}

void item_edits::grant_key(const admin_request& request, http_responder respond)
{
    const auto body = request.parse_body({"id", "team", "sha256"});
    if (!body.ok())
        return respond(not_run_response(body.status(), "bad_key"));
    const auto id = text_member(*body, "id");
    const auto team = text_member(*body, "team");
    const auto sha256 = text_member(*body, "sha256");
    if (!id.ok() || !team.ok() || !sha256.ok() || id->empty() || sha256->empty())
        return respond(
            not_run_response(absl::InvalidArgumentError(
                                 "strings 'id' and 'sha256' are required, 'team' for a team's key"),
                             "bad_key"));
    this->write(
        request, {},
        [&](YAML::Node& root) {
            add_key(root, team->empty() ? "operator_keys" : "keys",
                    {.id = *id, .team = *team, .sha256 = *sha256});
        },
        std::move(respond));
}

void item_edits::write(const admin_request& request, std::vector<std::string> resolves,
                       const edit& change, http_responder respond)
{
    const auto base = request.base_revision(this->configuration.stored().revision);
    if (!base.ok())
        return respond(not_run_response(base.status(), "bad_header"));
    const auto wait = request.wait_time(no_wait);
    if (!wait.ok())
        return respond(not_run_response(wait.status(), "bad_query"));
    this->writer.edit(*base, request.operator_key_id, std::move(resolves), change,
                      make_change_callback(this->responder, *wait, std::move(respond)));
}

} // namespace verbenalever
