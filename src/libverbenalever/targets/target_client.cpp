#include "targets/target_client.h"

#include "http/http_client.h"
#include "scheduling/resources_json.h"
#include "timeline/counters.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace verbenalever {

namespace {

constexpr milliseconds call_timeout{1500};
/// How long calls to a target use new connections after a lease call timed out. Longer than the
/// idle limit of pooled connections, so that no broken one is reused.
constexpr milliseconds new_connection_period = http_client::default_idle_limit + milliseconds(1000);
constexpr int status_conflict = 409;

absl::Status status_of(const http_result& result)
{
    if (!result.transport.ok())
        return result.transport;
    if (result.success())
        return absl::OkStatus();
    if (result.status == status_conflict)
        return absl::AbortedError(fmt::format("the target refused: {}", result.body));
    if (result.status == 404)
        return absl::NotFoundError("the target does not know the task");
    return absl::UnavailableError(fmt::format("the target answered {}", result.status));
}

std::string url_of(const endpoint& target, std::string_view path)
{
    return fmt::format("http://{}{}", target.text(), path);
}

absl::StatusOr<lease_response> parse_lease(const http_result& result)
{
    if (const auto status = status_of(result); !status.ok() && !absl::IsAborted(status))
        return status;
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object() || !json.contains("epoch") || !json["epoch"].is_number_integer())
        return absl::UnavailableError("the target sent a malformed lease");
    try {
        return lease_response{.granted = result.success(),
                              .epoch = json["epoch"].get<std::int64_t>(),
                              .holder = json.value("holder", ""),
                              .remaining =
                                  milliseconds(json.value("remaining_ms", std::int64_t{0}))};
    }
    catch (const nlohmann::json::exception& error) {
        return absl::UnavailableError(error.what());
    }
}

absl::StatusOr<target_inventory> parse_inventory(const http_result& result)
{
    if (auto status = status_of(result); !status.ok())
        return status;
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object() || !json.contains("tasks"))
        return absl::UnavailableError("the target sent a malformed inventory");
    try {
        target_inventory inventory;
        for (const auto& item : json.value("requests", nlohmann::json::array()))
            inventory.requests.push_back(
                {.request = item.at("request").get<std::string>(), .team = item.value("team", "")});
        for (const auto& item : json["tasks"])
            inventory.tasks.push_back({.task = item.at("task").get<std::string>(),
                                       .attempt = item.at("attempt").get<std::string>(),
                                       .team = item.value("team", ""),
                                       .demand = item.at("demand").get<resources>(),
                                       .state = item.at("state").get<std::string>(),
                                       .result = item.value("result", ""),
                                       .progress_ms = item.value("progress_ms", std::int64_t{0})});
        return inventory;
    }
    catch (const nlohmann::json::exception& error) {
        return absl::UnavailableError(error.what());
    }
}

} // namespace

target_client::target_client(http_client& http, counters& metrics) : http(http), metrics(metrics) {}

http_call target_client::prepare(const endpoint& target, std::string_view method,
                                 std::string_view path, std::string body) const
{
    const auto entry = this->new_connections_until.find(target.text());
    return {.method = std::string(method),
            .url = url_of(target, path),
            .headers = {},
            .body = std::move(body),
            .timeout = call_timeout,
            .fresh_connection = entry != this->new_connections_until.end() &&
                                monotonic_clock::now() < entry->second};
}

void target_client::avoid_kept_connections(const endpoint& target)
{
    this->metrics.add("target_connections_suspected");
    this->new_connections_until[target.text()] = monotonic_clock::now() + new_connection_period;
}

void target_client::start_call(const endpoint& target, std::string_view method,
                               std::string_view path, std::string body, done_callback done)
{
    this->metrics.add("target_calls");
    this->http.start(this->prepare(target, method, path, std::move(body)),
                     [this, done = std::move(done)](const http_result& result) {
                         this->metrics.add("target_control_bytes", result.bytes);
                         done(status_of(result));
                     });
}

void target_client::acquire_lease(const endpoint& target, std::string_view holder,
                                  std::int64_t epoch, milliseconds ttl, milliseconds limit,
                                  std::function<void(absl::StatusOr<lease_response>)> done)
{
    this->metrics.add("target_lease_calls");
    const nlohmann::json body = {{"holder", holder}, {"epoch", epoch}, {"ttl_ms", ttl.count()}};
    auto call = this->prepare(target, "PUT", "/lease", body.dump());
    call.timeout = limit;
    this->http.start(std::move(call),
                     [this, target, done = std::move(done)](const http_result& result) {
                         this->metrics.add("target_control_bytes", result.bytes);
                         if (absl::IsDeadlineExceeded(result.transport))
                             this->avoid_kept_connections(target);
                         done(parse_lease(result));
                     });
}

void target_client::release_lease(const endpoint& target, std::string_view holder,
                                  std::int64_t epoch, done_callback done)
{
    const nlohmann::json body = {{"holder", holder}, {"epoch", epoch}};
    this->start_call(target, "DELETE", "/lease", body.dump(), std::move(done));
}

void target_client::start_task(const endpoint& target, const task_start& start, std::int64_t epoch,
                               done_callback done)
{
    nlohmann::json body = {{"task", start.task}, {"attempt", start.attempt},
                           {"team", start.team}, {"demand", start.demand},
                           {"epoch", epoch},     {"lease_ms", start.lease.count()}};
    body["command"] = nlohmann::json::parse(start.command, nullptr, false);
    this->start_call(target, "POST", "/tasks", body.dump(), std::move(done));
}

void target_client::renew_task(const endpoint& target, std::string_view task, std::int64_t epoch,
                               milliseconds lease, done_callback done)
{
    const nlohmann::json body = {{"epoch", epoch}, {"lease_ms", lease.count()}};
    this->start_call(target, "PUT", fmt::format("/tasks/{}/lease", task), body.dump(),
                     std::move(done));
}

void target_client::stop_task(const endpoint& target, std::string_view task, std::int64_t epoch,
                              done_callback done)
{
    const nlohmann::json body = {{"epoch", epoch}};
    this->start_call(target, "POST", fmt::format("/tasks/{}/stop", task), body.dump(),
                     std::move(done));
}

void target_client::forget_task(const endpoint& target, std::string_view task, done_callback done)
{
    this->start_call(target, "DELETE", fmt::format("/tasks/{}", task), "", std::move(done));
}

void target_client::read_inventory(const endpoint& target,
                                   std::function<void(absl::StatusOr<target_inventory>)> done)
{
    this->metrics.add("target_inventory_calls");
    this->http.start(this->prepare(target, "GET", "/tasks", ""),
                     [this, done = std::move(done)](const http_result& result) {
                         this->metrics.add("target_control_bytes", result.bytes);
                         done(parse_inventory(result));
                     });
}

std::uint64_t target_client::send_request(const endpoint& target, std::string_view request,
                                          std::string_view team, std::int64_t epoch,
                                          std::string body, milliseconds timeout,
                                          std::function<void(http_result)> done)
{
    this->metrics.add("target_requests");
    auto call = this->prepare(target, "POST", "/requests", std::move(body));
    call.headers = {{"Request-Id", std::string(request)},
                    {"Team", std::string(team)},
                    {"Lease-Epoch", fmt::format("{}", epoch)},
                    {"Content-Type", "application/json"}};
    call.timeout = timeout;
    return this->http.start(std::move(call), std::move(done));
}

} // namespace verbenalever
