#include "jobs/job_view.h"

#include "jobs/job_record.h"

#include <nlohmann/json.hpp>

namespace verbenalever {

nlohmann::json job_summary(const job_record& job)
{
    return {{"job", job.id},
            {"queue", job.queue},
            {"team", job.team},
            {"state", job.state()},
            {"finished", job.finished},
            {"cancelled", job.cancelled},
            {"reason", job.reason},
            {"driver", job.driver},
            {"epoch", job.epoch},
            {"task_count", job.tasks.size()}};
}

nlohmann::json job_view(const job_record& job)
{
    auto details = job_summary(job);
    auto tasks = nlohmann::json::array();
    std::map<std::string, int> counts;
    for (const auto& task : job.tasks) {
        ++counts[task.state];
        tasks.push_back({{"state", task.state},
                         {"target", task.target},
                         {"attempt", task.attempt},
                         {"failures", task.failures},
                         {"progress_ms", task.progress_ms},
                         {"result", task.result}});
    }
    details["counts"] = counts;
    details["tasks"] = std::move(tasks);
    return details;
}

} // namespace verbenalever
