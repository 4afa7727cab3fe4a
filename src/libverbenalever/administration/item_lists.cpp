#include "administration/item_lists.h"

#include "administration/admin_routes.h"
#include "administration/limit_json.h"
#include "configuration/configuration_store.h"

#include <array>
#include <string>

namespace verbenalever {

item_lists::item_lists(const configuration_store& configuration) : configuration(configuration) {}

void item_lists::add_routes(admin_routes& routes)
{
    /// A list and the member function that builds it.
    struct list_route {
        std::string_view name;
        nlohmann::json (item_lists::*to_json)() const;
    };
    constexpr std::array lists{list_route{"teams", &item_lists::teams},
                               list_route{"queues", &item_lists::queues},
                               list_route{"availability_zones", &item_lists::availability_zones},
                               list_route{"keys", &item_lists::keys},
                               list_route{"restrictions", &item_lists::restrictions}};
    for (const auto& list : lists)
        routes.add("GET", "/v1/admin/" + std::string(list.name),
                   [this, list](const admin_request&, const http_responder& respond) {
                       const nlohmann::json body = {
                           {"revision", this->configuration.stored().revision},
                           {std::string(list.name), (this->*list.to_json)()}};
                       respond(http_response::json(200, body.dump()));
                   });
}

nlohmann::json item_lists::teams() const
{
    auto list = nlohmann::json::array();
    for (const auto& [name, team] : this->configuration.current().teams) {
        nlohmann::json item = {{"name", name}, {"share", team.share}};
        if (team.limit)
            item["limit"] = limit_to_json(*team.limit);
        list.push_back(std::move(item));
    }
    return list;
}

nlohmann::json item_lists::queues() const
{
    auto list = nlohmann::json::array();
    for (const auto& [name, queue] : this->configuration.current().queues)
        list.push_back({{"name", name},
                        {"class", queue.work_class},
                        {"priority", queue.priority},
                        {"open", queue.open},
                        {"stopped", queue.stopped},
                        {"deadline_ms", queue.deadline.count()},
                        {"length_limit", queue.length_limit}});
    return list;
}

nlohmann::json item_lists::availability_zones() const
{
    const auto& configured = this->configuration.current();
    auto list = nlohmann::json::array();
    for (const auto& zone : configured.availability_zones_out) {
        const bool moving = configured.availability_zones_moving.contains(zone);
        list.push_back({{"name", zone}, {"state", "out"}, {"drain", moving ? "move" : "let-end"}});
    }
    return list;
}

nlohmann::json item_lists::keys() const
{
    auto list = nlohmann::json::array();
    for (const auto& key : this->configuration.current().keys)
        list.push_back({{"id", key.id}, {"team", key.team}, {"operator", false}});
    for (const auto& key : this->configuration.current().operator_keys)
        list.push_back({{"id", key.id}, {"team", ""}, {"operator", true}});
    return list;
}

nlohmann::json item_lists::restrictions() const
{
    auto list = nlohmann::json::array();
    for (const auto& [id, member] : this->configuration.restrictions().all())
        list.push_back({{"id", id},
                        {"kind", member.kind},
                        {"subject", member.subject},
                        {"by", member.operator_key_id},
                        {"made_us", member.made_us}});
    return list;
}

} // namespace verbenalever
