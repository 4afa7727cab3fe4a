#include "jobs/job_submission.h"

#include "scheduling/resources_json.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace verbenalever {

namespace {

constexpr std::int64_t max_tasks = 5000;
constexpr std::size_t max_id_bytes = 200;
constexpr std::size_t max_command_bytes = 256 * 1024; ///< so that a page stays under 1 MB
constexpr std::array<std::string_view, 8> known_members{
    "id", "queue", "tasks", "demand", "command", "gang", "service", "repeatable"};
constexpr std::array<std::string_view, 3> boolean_members{"gang", "service", "repeatable"};

absl::Status validate_flags(const nlohmann::json& json)
{
    for (const auto& name : boolean_members) {
        const auto found = json.find(std::string(name));
        if (found != json.end() && !found->is_boolean())
            return absl::InvalidArgumentError(fmt::format("'{}' is not true or false", name));
    }
    if (json.value("gang", false) && json.value("service", false))
        return absl::InvalidArgumentError("a job is a gang or a service, not both");
    if (json.value("service", false) && !json.value("repeatable", true))
        return absl::InvalidArgumentError("a service cannot have \"repeatable\": false");
    return absl::OkStatus();
}

absl::Status validate_sizes(const nlohmann::json& json)
{
    if (json.contains("id") &&
        (!json["id"].is_string() || json["id"].get_ref<const std::string&>().size() > max_id_bytes))
        return absl::InvalidArgumentError(
            fmt::format("'id' is not a string of at most {} bytes", max_id_bytes));
    if (json.contains("command") && !json["command"].is_object())
        return absl::InvalidArgumentError("'command' is not an object");
    if (json.contains("command") && json["command"].dump().size() > max_command_bytes)
        return absl::InvalidArgumentError(
            fmt::format("'command' has more than {} bytes", max_command_bytes));
    return absl::OkStatus();
}

absl::Status validate_members(const nlohmann::json& json)
{
    if (!json.is_object())
        return absl::InvalidArgumentError("the body is not a JSON object");
    for (const auto& [name, value] : json.items()) {
        if (std::ranges::find(known_members, name) == known_members.end())
            return absl::InvalidArgumentError(fmt::format("'{}' is not a known member", name));
    }
    if (!json.contains("queue") || !json["queue"].is_string())
        return absl::InvalidArgumentError("'queue' is missing");
    if (json.contains("tasks") && !json["tasks"].is_number_integer())
        return absl::InvalidArgumentError("'tasks' is not an integer");
    if (const auto tasks = json.value("tasks", std::int64_t{1}); tasks < 1 || tasks > max_tasks)
        return absl::InvalidArgumentError(
            fmt::format("'tasks' is not between 1 and {}", max_tasks));
    if (auto status = validate_sizes(json); !status.ok())
        return status;
    return validate_flags(json);
}

} // namespace

absl::StatusOr<job_submission> job_submission::parse(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (auto status = validate_members(json); !status.ok())
        return status;
    job_submission result{.id = json.value("id", ""),
                          .queue = json["queue"].get<std::string>(),
                          .tasks = json.value("tasks", std::size_t{1}),
                          .demand = std::nullopt,
                          .command = json.value("command", nlohmann::json::object()).dump(),
                          .gang = json.value("gang", false),
                          .service = json.value("service", false),
                          .repeatable = json.value("repeatable", true)};
    if (json.contains("demand")) {
        try {
            result.demand = json["demand"].get<resources>();
        }
        catch (const nlohmann::json::exception& error) {
            return absl::InvalidArgumentError(fmt::format("'demand': {}", error.what()));
        }
        if (!resources{}.fits_within(*result.demand))
            return absl::InvalidArgumentError("'demand' has a negative amount");
    }
    return result;
}

} // namespace verbenalever
