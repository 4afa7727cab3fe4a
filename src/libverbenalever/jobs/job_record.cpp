#include "jobs/job_record.h"

#include "scheduling/resources_json.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <span>

namespace verbenalever {

namespace {

using nlohmann::json;

constexpr std::size_t max_tasks = 100000;

/// Tasks are serialized as arrays without member names to save space: they make up most of a
/// record.
json task_json(const job_task& task)
{
    if (task.state == "pending" && task.failures == 0 && task.progress_ms == 0)
        return 0;
    return json::array(
        {task.state, task.target, task.attempt, task.result, task.failures, task.progress_ms});
}

job_task parse_task(const json& item)
{
    if (!item.is_array())
        return {};
    return {.state = item.at(0).get<std::string>(),
            .target = item.at(1).get<std::string>(),
            .attempt = item.at(2).get<std::string>(),
            .result = item.at(3).get<std::string>(),
            .failures = item.at(4).get<std::int64_t>(),
            .progress_ms = item.at(5).get<std::int64_t>()};
}

template <typename Task>
std::span<Task> page_span(std::span<Task> tasks, std::size_t page)
{
    const auto first = std::min(tasks.size(), page * job_record::tasks_per_page);
    const auto length = std::min(job_record::tasks_per_page, tasks.size() - first);
    return tasks.subspan(first, length);
}

void parse_tasks(std::span<job_task> tasks, const json& task_list)
{
    for (std::size_t i = 0; i < tasks.size() && i < task_list.size(); ++i)
        tasks[i] = parse_task(task_list[i]);
}

void write_header(json& page, const job_record& job)
{
    page["id"] = job.id;
    page["queue"] = job.queue;
    page["team"] = job.team;
    page["driver"] = job.driver;
    page["demand"] = job.demand;
    page["command"] = job.command;
    page["gang"] = job.gang;
    page["service"] = job.service;
    page["repeatable"] = job.repeatable;
    page["cancelled"] = job.cancelled;
    page["finished"] = job.finished;
    page["finished_wall_us"] = job.finished_wall_us;
    page["reason"] = job.reason;
    page["count"] = job.tasks.size();
}

job_record parse_header(const json& page)
{
    const auto count = page.at("count").get<std::size_t>();
    if (count > max_tasks)
        throw std::length_error("a record has too many tasks");
    return {.id = page.at("id").get<std::string>(),
            .queue = page.at("queue").get<std::string>(),
            .team = page.at("team").get<std::string>(),
            .driver = page.at("driver").get<std::string>(),
            .writer = page.at("writer").get<std::string>(),
            .epoch = page.at("epoch").get<std::int64_t>(),
            .sequence = page.at("sequence").get<std::int64_t>(),
            .demand = page.at("demand").get<resources>(),
            .command = page.at("command").get<std::string>(),
            .gang = page.at("gang").get<bool>(),
            .service = page.at("service").get<bool>(),
            .repeatable = page.at("repeatable").get<bool>(),
            .cancelled = page.at("cancelled").get<bool>(),
            .finished = page.at("finished").get<bool>(),
            .finished_wall_us = page.at("finished_wall_us").get<std::int64_t>(),
            .reason = page.at("reason").get<std::string>(),
            .tasks = std::vector<job_task>(count)};
}

} // namespace

std::size_t job_record::pages() const
{
    return std::max<std::size_t>(1, (this->tasks.size() + tasks_per_page - 1) / tasks_per_page);
}

std::string job_record::page_key(std::string_view id, std::size_t page)
{
    return page == 0 ? fmt::format("jobs/{}", id) : fmt::format("job_pages/{}/{}", id, page);
}

std::string job_record::serialize_page(std::size_t page) const
{
    json page_json = {
        {"writer", this->writer}, {"epoch", this->epoch}, {"sequence", this->sequence}};
    if (page == 0)
        write_header(page_json, *this);
    auto task_list = json::array();
    for (const auto& task : page_span(std::span(this->tasks), page))
        task_list.push_back(task_json(task));
    page_json["tasks"] = std::move(task_list);
    return page_json.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<job_record> job_record::parse(std::string_view text)
{
    try {
        const auto page = json::parse(text);
        auto job = parse_header(page);
        parse_tasks(page_span(std::span(job.tasks), 0), page.at("tasks"));
        return job;
    }
    catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

absl::Status job_record::apply_page(std::size_t page, std::string_view text)
{
    try {
        parse_tasks(page_span(std::span(this->tasks), page), json::parse(text).at("tasks"));
        return absl::OkStatus();
    }
    catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

bool job_record::all_ended() const
{
    return std::ranges::all_of(this->tasks, [](const job_task& task) { return task.ended(); });
}

std::string_view job_record::state() const
{
    const auto any = [this](std::string_view state) {
        return std::ranges::any_of(this->tasks,
                                   [state](const job_task& task) { return task.state == state; });
    };
    if (!this->finished)
        return any("placed") || any("done") ? "running" : "waiting";
    if (this->cancelled)
        return "cancelled";
    return any("failed") || any("unknown") ? "failed" : "done";
}

} // namespace verbenalever
