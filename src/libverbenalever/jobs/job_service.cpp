#include "jobs/job_service.h"

#include "access/access_control.h"
#include "configuration/configuration_store.h"
#include "http/problem.h"
#include "http/router.h"
#include "jobs/job_submission.h"
#include "loop/unique_id.h"
#include "platform/kv_client.h"
#include "scheduling/least_loaded_placement.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace verbenalever {

namespace {

constexpr int status_accepted = 202;

} // namespace

job_service::job_service(event_loop& loop, const entry_settings& settings,
                         configuration_store& configuration, access_control& access,
                         kv_client& store, target_registry& registry, target_client& client,
                         counters& metrics, const event_log& log)
    : loop(loop), settings(settings), configuration(configuration), access(access), store(store),
      registry(registry), client(client), metrics(metrics), log(log),
      placement(std::make_unique<least_loaded_placement>())
{
}

job_service::~job_service() = default;

void job_service::add_routes(router& routes)
{
    routes.add("POST", "/v1/jobs",
               [this](const http_request& request, const path_parameters&, http_responder respond) {
                   this->submit(request, std::move(respond));
               });
    routes.add("GET", "/v1/jobs/{id}",
               [this](const http_request& request, const path_parameters& parameters,
                      http_responder respond) {
                   this->show(request, parameters.at("id"), std::move(respond));
               });
}

void job_service::submit(const http_request& request, http_responder respond)
{
    const auto submission = job_submission::parse(request.body);
    if (!submission.ok())
        return respond(not_run_response(submission.status(), "bad_job"));
    const auto& queues = this->configuration.current().queues;
    const auto queue = queues.find(submission->queue);
    if (queue == queues.end())
        return respond(not_run_response(
            absl::NotFoundError(fmt::format("there is no queue '{}'", submission->queue)),
            "no_such_queue"));
    const auto team = this->access.admit(request, queue->second);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    job_record record{.id = make_unique_id("job"),
                      .queue = submission->queue,
                      .team = *team,
                      .driver = this->settings.name,
                      .demand = submission->demand.value_or(queue->second.demand),
                      .command = submission->command,
                      .tasks = std::vector<job_task>(submission->tasks)};
    auto text = record.text();
    const auto key = fmt::format("jobs/{}", record.id);
    this->store.put(
        key, std::move(text), 0,
        [this, record = std::move(record),
         respond = std::move(respond)](absl::StatusOr<std::int64_t> revision) {
            if (!revision.ok())
                return respond(not_run_response(revision.status(), "store_unreachable"));
            respond(
                http_response::json(status_accepted, nlohmann::json{{"job", record.id}}.dump()));
            this->accept(record, *revision);
        });
}

void job_service::accept(job_record record, std::int64_t revision)
{
    this->metrics.add("jobs_accepted");
    this->log.write("jobs", "job_accepted", {{"job", record.id}, {"team", record.team}});
    const auto id = record.id;
    auto driver =
        std::make_unique<job_driver>(this->loop, this->store, this->registry, this->client,
                                     *this->placement, this->log, std::move(record), revision);
    driver->on_finished([this, id] {
        this->metrics.add("jobs_finished");
        this->log.write("jobs", "job_finished", {{"job", id}});
    });
    this->drivers.emplace(id, std::move(driver));
}

void job_service::show(const http_request& request, const std::string& id, http_responder respond)
{
    const auto team = this->access.team_of(request);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    this->store.get(fmt::format("jobs/{}", id), [respond = std::move(respond), id,
                                                 team = *team](absl::StatusOr<kv_entry> entry) {
        const auto record = entry.ok() ? job_record::parse(entry->value) : entry.status();
        if (!record.ok() || record->team != team) {
            const auto status = record.ok() || absl::IsNotFound(record.status())
                                    ? absl::NotFoundError(fmt::format("there is no job '{}'", id))
                                    : record.status();
            return respond(not_run_response(status, "job_not_shown"));
        }
        nlohmann::json tasks = nlohmann::json::array();
        for (const auto& task : record->tasks)
            tasks.push_back(
                {{"state", task.state}, {"target", task.target}, {"result", task.result}});
        respond(http_response::json(200, nlohmann::json{{"job", record->id},
                                                        {"queue", record->queue},
                                                        {"team", record->team},
                                                        {"finished", record->finished()},
                                                        {"tasks", tasks}}
                                             .dump()));
    });
}

} // namespace verbenalever
