#include "jobs/job_record.h"

#include "scheduling/resources_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace verbenalever {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(job_task, state, target, attempt, result)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(job_record, id, queue, team, driver, demand, command, tasks)

std::string job_record::text() const
{
    return nlohmann::json(*this).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<job_record> job_record::parse(std::string_view text)
{
    try {
        return nlohmann::json::parse(text).get<job_record>();
    }
    catch (const nlohmann::json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

bool job_record::finished() const
{
    return std::ranges::all_of(this->tasks, [](const job_task& task) {
        return task.state == "done" || task.state == "failed";
    });
}

} // namespace verbenalever
