#include "store/vm_list_client.h"

#include "http/http_client.h"
#include "scheduling/resources_json.h"
#include "timeline/counters.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace verbenalever {

namespace {

constexpr milliseconds poll_timeout{2000};
constexpr int status_not_modified = 304;

std::string string_field(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

resources parse_capacity(const nlohmann::json& object)
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
                               const endpoint& platform, handler on_list)
    : http(http), metrics(metrics), url(fmt::format("http://{}/vms", platform.text())),
      on_list(std::move(on_list)), poll_timer(loop, [this] { this->poll(); })
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
        auto address = endpoint::parse(string_field(item, "address"));
        if (!address.ok() || string_field(item, "name").empty())
            continue;
        vms.push_back(
            {.name = string_field(item, "name"),
             .role = string_field(item, "role") == "entry" ? vm_role::entry : vm_role::target,
             .availability_zone = string_field(item, "availability_zone"),
             .rack = string_field(item, "rack"),
             .address = *std::move(address),
             .capacity = parse_capacity(item),
             .leaving = string_field(item, "state") == "leaving"});
    }
    return vms;
}

void vm_list_client::poll()
{
    this->metrics.add("vm_list_reads");
    http_call call{
        .url = this->url, .timeout = poll_timeout, .fresh_connection = this->last_poll_failed};
    if (!this->etag.empty())
        call.headers.push_back({"If-None-Match", this->etag});
    this->http.start(std::move(call),
                     [this, read_at_us = wall_microseconds()](const http_result& result) {
                         this->on_response(result, read_at_us);
                     });
}

void vm_list_client::on_response(const http_result& result, std::int64_t read_at_us)
{
    this->metrics.add("vm_list_bytes", result.bytes);
    this->last_poll_failed = !result.transport.ok();
    if (result.transport.ok() && result.status == status_not_modified)
        return this->on_list({}, read_at_us);
    if (!result.success() || !vm_list_client::parse(result.body).ok())
        return;
    this->etag = result.header("ETag");
    this->on_list(result.body, read_at_us);
}

} // namespace verbenalever
