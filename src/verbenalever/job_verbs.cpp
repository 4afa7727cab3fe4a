#include "job_verbs.h"

#include "exit_codes.h"
#include "flags.h"
#include "session.h"

#include <fmt/format.h>

#include <cstdio>
#include <optional>

namespace tool {

using verbenalever::milliseconds;
using verbenalever::monotonic_clock;

namespace {

/// Long-poll timeout: the entry responds after this time, or at once when the job finishes.
constexpr int long_poll_ms = 5000;

/// @return the id of the job given as the first argument, else of the last job submitted in this
///         session; nullopt after printing an error if there is neither
std::optional<std::string> selected_job(const session& current_session,
                                        std::span<const std::string> arguments)
{
    const auto job = arguments.empty() ? current_session.last_job_id : arguments[0];
    if (job.empty()) {
        fmt::print(stderr, "verbenalever job: missing argument JOB\n");
        return std::nullopt;
    }
    return job;
}

void print_job_summary(const nlohmann::json& job)
{
    fmt::print("{}  queue {}  team {}  {} tasks  {}{}{}\n", job.value("job", ""),
               job.value("queue", ""), job.value("team", ""), job.value("task_count", 0),
               job.value("state", ""), job.value("reason", "").empty() ? "" : ": ",
               job.value("reason", ""));
}

void print_job(const std::string& text)
{
    if (FLAGS_json) {
        fmt::print("{}\n", text);
        return;
    }
    const auto job = nlohmann::json::parse(text);
    print_job_summary(job);
    for (const auto& [task_state, count] : job["counts"].items())
        fmt::print("  {} {}", count.get<int>(), task_state);
    fmt::print("\n");
    int index = 0;
    for (const auto& task : job["tasks"])
        fmt::print("{:>6}  {:<10}{:<16}{}\n", index++, task.value("state", ""),
                   task.value("target", ""), task.value("result", ""));
}

bool any_task_not_done(const nlohmann::json& job)
{
    for (const auto& task : job["tasks"]) {
        if (task.value("state", "") != "done")
            return true;
    }
    return false;
}

} // namespace

int run_job_submit(session& current_session, std::span<const std::string> arguments)
{
    if (arguments.size() != 1) {
        fmt::print(stderr, "verbenalever job submit: expected exactly one argument, QUEUE\n");
        return exit_usage;
    }
    nlohmann::json job = {{"queue", arguments[0]}, {"tasks", FLAGS_tasks}};
    if (!FLAGS_job_id.empty())
        job["id"] = FLAGS_job_id;
    job["gang"] = FLAGS_gang;
    job["service"] = FLAGS_service;
    job["repeatable"] = !FLAGS_once;
    job["command"] = nlohmann::json::parse(FLAGS_command, nullptr, false);
    if (!FLAGS_demand.empty())
        job["demand"] = nlohmann::json::parse(FLAGS_demand, nullptr, false);
    if (job["command"].is_discarded() || (job.contains("demand") && job["demand"].is_discarded())) {
        fmt::print(stderr, "verbenalever job submit: --command and --demand must be JSON\n");
        return exit_usage;
    }
    const auto result = current_session.call("POST", "/v1/jobs", job.dump());
    if (!result.success())
        return report_failure(result);
    current_session.last_job_id = nlohmann::json::parse(result.body).value("job", "");
    fmt::print("{}\n", FLAGS_json ? result.body : current_session.last_job_id);
    return exit_ok;
}

int run_job_show(session& current_session, std::span<const std::string> arguments)
{
    const auto job = selected_job(current_session, arguments);
    if (!job)
        return exit_usage;
    const auto result = current_session.call("GET", fmt::format("/v1/jobs/{}", *job));
    if (!result.success())
        return report_failure(result);
    print_job(result.body);
    return exit_ok;
}

int run_job_wait(session& current_session, std::span<const std::string> arguments)
{
    const auto job = selected_job(current_session, arguments);
    if (!job)
        return exit_usage;
    const auto deadline = monotonic_clock::now() + milliseconds(FLAGS_timeout_ms);
    while (true) {
        const auto result =
            current_session.call("GET", fmt::format("/v1/jobs/{}?wait={}", *job, long_poll_ms));
        if (!result.success())
            return report_failure(result);
        const auto job_status = nlohmann::json::parse(result.body);
        if (job_status.value("finished", false)) {
            print_job(result.body);
            return any_task_not_done(job_status) ? exit_failed : exit_ok;
        }
        if (monotonic_clock::now() > deadline) {
            fmt::print(stderr, "verbenalever job wait: {} has not finished\n", *job);
            return exit_unknown;
        }
    }
}

int run_job_cancel(session& current_session, std::span<const std::string> arguments)
{
    const auto job = selected_job(current_session, arguments);
    if (!job)
        return exit_usage;
    const auto result = current_session.call("POST", fmt::format("/v1/jobs/{}/cancel", *job));
    if (!result.success())
        return report_failure(result);
    fmt::print("{}\n", FLAGS_json ? result.body : "cancelled");
    return exit_ok;
}

int run_job_list(session& current_session, std::span<const std::string> arguments)
{
    const auto query = arguments.empty() ? std::string() : "?queue=" + arguments[0];
    const auto result = current_session.call("GET", "/v1/jobs" + query);
    if (!result.success())
        return report_failure(result);
    if (FLAGS_json) {
        fmt::print("{}\n", result.body);
        return exit_ok;
    }
    const auto listed = nlohmann::json::parse(result.body);
    for (const auto& job : listed["jobs"])
        print_job_summary(job);
    return exit_ok;
}

} // namespace tool
