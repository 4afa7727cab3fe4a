#include "platform/vm_list_client.h"

#include "http/http_client.h"
#include "scheduling/resources_json.h"
#include "timeline/counters.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace verbenalever {

namespace {

constexpr milliseconds poll_timeout{2000};

std::string text_of(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

resources capacity_of(const nlohmann::json& object)
{
    const auto found = object.find("capacity");
    if (found == object.end() || !found->is_object())
        return {};
    try {
        return found->get<resources>();
    }
    catch (const nlohmann::json::exception&) {
        return {};
    }
}

} // namespace

vm_list_client::vm_list_client(event_loop& loop, http_client& http, counters& metrics,
                               const endpoint& platform, handler received)
    : http(http), metrics(metrics), url(fmt::format("http://{}/vms", platform.text())),
      received(std::move(received)), poll_timer(loop, [this] { this->poll(); })
{
}

void vm_list_client::start(milliseconds interval)
{
    this->poll_timer.start_repeating(interval);
    this->poll();
}

absl::StatusOr<std::vector<vm_record>> vm_list_client::parse(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array())
        return absl::InvalidArgumentError("the VM list is malformed");
    std::vector<vm_record> vms;
    for (const auto& item : json["vms"]) {
        if (!item.is_object())
            continue;
        auto address = endpoint::parse(text_of(item, "address"));
        if (!address.ok() || text_of(item, "name").empty())
            continue;
        vms.push_back({.name = text_of(item, "name"),
                       .role = text_of(item, "role") == "entry" ? vm_role::entry : vm_role::target,
                       .availability_zone = text_of(item, "availability_zone"),
                       .rack = text_of(item, "rack"),
                       .address = *std::move(address),
                       .capacity = capacity_of(item),
                       .leaving = text_of(item, "state") == "leaving"});
    }
    return vms;
}

void vm_list_client::poll()
{
    this->metrics.add("vm_list_reads");
    this->http.start({.url = this->url, .timeout = poll_timeout},
                     [this](const http_result& result) {
                         if (!result.success())
                             return;
                         if (const auto vms = vm_list_client::parse(result.body); vms.ok())
                             this->received(*vms);
                     });
}

} // namespace verbenalever
