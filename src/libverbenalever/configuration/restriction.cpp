#include "configuration/restriction.h"

#include "configuration/configuration_edit.h"
#include "configuration/operator_configuration.h"
#include "scheduling/resources_json.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace verbenalever {

namespace {

/// The functions that implement one kind of restriction.
struct restriction_kind {
    bool (*subject_exists)(const operator_configuration&, std::string_view subject);
    void (*narrow)(const restriction&, operator_configuration&);
    void (*write)(const restriction&, YAML::Node&);
};

bool has_key(const operator_configuration& configuration, std::string_view id)
{
    const auto named = [id](const key_configuration& key) { return key.id == id; };
    return std::ranges::any_of(configuration.keys, named) ||
           std::ranges::any_of(configuration.operator_keys, named);
}

void withdraw_key(const restriction& wanted, operator_configuration& configuration)
{
    const auto named = [&wanted](const key_configuration& key) { return key.id == wanted.subject; };
    std::erase_if(configuration.keys, named);
    std::erase_if(configuration.operator_keys, named);
}

void write_withdrawn_key(const restriction& wanted, YAML::Node& root)
{
    remove_key(root, "keys", wanted.subject);
    remove_key(root, "operator_keys", wanted.subject);
}

bool accept_any_zone(const operator_configuration&, std::string_view)
{
    return true; // a zone does not have to be listed in the configuration
}

void take_zone_out(const restriction& wanted, operator_configuration& configuration)
{
    configuration.availability_zones_out.insert(wanted.subject);
    if (wanted.drain == zone_drain_move)
        configuration.availability_zones_moving.insert(wanted.subject);
}

void write_zone_out(const restriction& wanted, YAML::Node& root)
{
    set_zone_state(root, wanted.subject, "out", wanted.drain);
}

bool has_team(const operator_configuration& configuration, std::string_view team)
{
    return configuration.teams.contains(team);
}

resources minimum_of(const resources& left, const resources& right)
{
    return {.slots = std::min(left.slots, right.slots),
            .processors_milli = std::min(left.processors_milli, right.processors_milli),
            .memory_mb = std::min(left.memory_mb, right.memory_mb),
            .accelerators = std::min(left.accelerators, right.accelerators)};
}

void lower_limit(const restriction& wanted, operator_configuration& configuration)
{
    const auto team = configuration.teams.find(wanted.subject);
    if (team == configuration.teams.end())
        return;
    auto& limit = team->second.limit;
    limit = limit ? minimum_of(*limit, wanted.limit) : wanted.limit;
}

void write_lower_limit(const restriction& wanted, YAML::Node& root)
{
    const auto team = root["teams"][wanted.subject];
    if (!team.IsDefined())
        return;
    const auto present = team.IsMap() ? team["limit"] : YAML::Node(YAML::NodeType::Undefined);
    auto limit = wanted.limit;
    if (present.IsDefined())
        limit = minimum_of(limit, read_limit(present));
    set_team_limit(root, wanted.subject, limit);
}

bool has_queue(const operator_configuration& configuration, std::string_view queue)
{
    return configuration.queues.contains(queue);
}

void stop_queue(const restriction& wanted, operator_configuration& configuration)
{
    if (const auto queue = configuration.queues.find(wanted.subject);
        queue != configuration.queues.end())
        queue->second.stopped = true;
}

void write_stopped_queue(const restriction& wanted, YAML::Node& root)
{
    if (root["queues"][wanted.subject].IsDefined())
        set_queue_stopped(root, wanted.subject, true);
}

const std::map<std::string_view, restriction_kind> restriction_kinds = {
    {"withdraw_key", {has_key, withdraw_key, write_withdrawn_key}},
    {"zone_out", {accept_any_zone, take_zone_out, write_zone_out}},
    {"lower_limit", {has_team, lower_limit, write_lower_limit}},
    {"stop_queue", {has_queue, stop_queue, write_stopped_queue}},
};

} // namespace

std::string restriction::encode() const
{
    return nlohmann::json{{"id", this->id},           {"kind", this->kind},
                          {"subject", this->subject}, {"drain", this->drain},
                          {"limit", this->limit},     {"by", this->operator_key_id},
                          {"made_us", this->made_us}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<restriction> restriction::decode(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        restriction result;
        json.at("id").get_to(result.id);
        json.at("kind").get_to(result.kind);
        json.at("subject").get_to(result.subject);
        json.at("drain").get_to(result.drain);
        json.at("limit").get_to(result.limit);
        json.at("by").get_to(result.operator_key_id);
        json.at("made_us").get_to(result.made_us);
        if (result.id.empty() || !restriction_kinds.contains(result.kind))
            return absl::InvalidArgumentError("not a known restriction");
        return result;
    }
    catch (const nlohmann::json::exception&) {
        return absl::InvalidArgumentError("not a restriction");
    }
}

absl::Status restriction::validate(const operator_configuration& configuration) const
{
    const auto found = restriction_kinds.find(this->kind);
    if (found == restriction_kinds.end())
        return absl::InvalidArgumentError(fmt::format(
            "kind '{}' is none of: withdraw_key, zone_out, lower_limit, stop_queue", this->kind));
    if (this->subject.empty())
        return absl::InvalidArgumentError("'subject' is required");
    if (this->kind == "zone_out" && this->drain != zone_drain_move &&
        this->drain != zone_drain_let_end)
        return absl::InvalidArgumentError(
            fmt::format("drain '{}' is neither let-end nor move", this->drain));
    if (!found->second.subject_exists(configuration, this->subject))
        return absl::NotFoundError(
            fmt::format("{}: '{}' is not in the configuration", this->kind, this->subject));
    return absl::OkStatus();
}

void restriction::narrow(operator_configuration& configuration) const
{
    if (const auto found = restriction_kinds.find(this->kind); found != restriction_kinds.end())
        found->second.narrow(*this, configuration);
}

void restriction::write_to_yaml(YAML::Node& root) const
{
    if (const auto found = restriction_kinds.find(this->kind); found != restriction_kinds.end())
        found->second.write(*this, root);
}

} // namespace verbenalever
