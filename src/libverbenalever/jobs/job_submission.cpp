#include "jobs/job_submission.h"

#include "scheduling/resources_json.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace verbenalever {

namespace {

constexpr std::int64_t most_tasks = 5000;
constexpr std::array<std::string_view, 4> known_members{"queue", "tasks", "demand", "command"};

absl::Status check_members(const nlohmann::json& json)
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
        return absl::InvalidArgumentError("'tasks' is not a whole number");
    if (const auto tasks = json.value("tasks", std::int64_t{1}); tasks < 1 || tasks > most_tasks)
        return absl::InvalidArgumentError(
            fmt::format("'tasks' is not between 1 and {}", most_tasks));
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<job_submission> job_submission::parse(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (auto status = check_members(json); !status.ok())
        return status;
    job_submission result{.queue = json["queue"].get<std::string>(),
                          .tasks = json.value("tasks", std::size_t{1}),
                          .demand = std::nullopt,
                          .command = json.value("command", nlohmann::json::object()).dump()};
    if (json.contains("demand")) {
        try {
            result.demand = json["demand"].get<resources>();
        }
        catch (const nlohmann::json::exception& error) {
            return absl::InvalidArgumentError(fmt::format("'demand': {}", error.what()));
        }
    }
    return result;
}

} // namespace verbenalever
