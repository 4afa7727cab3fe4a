#include "jobs/job_api.h"

#include "access/access_control.h"
#include "http/problem.h"
#include "http/router.h"
#include "jobs/job_context.h"
#include "jobs/job_lookup.h"
#include "jobs/job_messenger.h"
#include "jobs/job_notice.h"
#include "jobs/job_view.h"
#include "store/kv_client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace verbenalever {

namespace {

constexpr milliseconds max_wait{30000};
/// Limit of a single watch call, so that draining is checked at least this often.
constexpr milliseconds max_watch_time{5000};
/// Writes in flight while the jobs of a queue are cancelled, so that the store has capacity left
/// for other work.
constexpr std::size_t max_concurrent_cancellations = 8;

http_response no_such_job(const std::string& id)
{
    return not_run_response(absl::NotFoundError(fmt::format("there is no job '{}'", id)),
                            "no_such_job");
}

http_response store_failure(const absl::Status& status)
{
    return not_run_response(absl::UnavailableError(status.message()), "store_unreachable");
}

milliseconds requested_wait(const http_request& request)
{
    std::int64_t wait_ms = 0;
    if (const auto found = request.query.find("wait"); found != request.query.end())
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), wait_ms);
    return std::clamp(milliseconds(wait_ms), milliseconds(0), max_wait);
}

} // namespace

job_api::job_api(const job_context& context, access_control& access)
    : context(context), access(access)
{
}

void job_api::add_routes(router& routes)
{
    routes.add("GET", "/v1/jobs",
               [this](const http_request& request, const path_parameters&, http_responder respond) {
                   this->list_jobs(request, std::move(respond));
               });
    routes.add("GET", "/v1/jobs/{id}",
               [this](const http_request& request, const path_parameters& parameters,
                      http_responder respond) {
                   this->get_job(request, parameters.at("id"), std::move(respond));
               });
    routes.add("POST", "/v1/jobs/cancel",
               [this](const http_request& request, const path_parameters&, http_responder respond) {
                   this->cancel_queue(request, std::move(respond));
               });
    routes.add("POST", "/v1/jobs/{id}/cancel",
               [this](const http_request& request, const path_parameters& parameters,
                      http_responder respond) {
                   this->cancel_job(request, parameters.at("id"), std::move(respond));
               });
}

void job_api::drain()
{
    this->draining = true;
}

void job_api::get_job(const http_request& request, const std::string& id, http_responder respond)
{
    const auto team = this->access.team_of(request);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    this->read_job(std::make_shared<job_query>(
        job_query{.id = id,
                  .team = *team,
                  .deadline = monotonic_clock::now() + requested_wait(request),
                  .respond = std::move(respond)}));
}

void job_api::read_job(const job_query_ptr& current)
{
    read_job_record(
        this->context.store, current->id,
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_entry> entry) {
            if (guard.expired())
                return;
            if (!entry.ok() && !absl::IsNotFound(entry.status()))
                return current->respond(store_failure(entry.status()));
            auto job = entry.ok() ? job_record::parse(entry->value) : entry.status();
            if (!job.ok() || job->team != current->team)
                return current->respond(no_such_job(current->id));
            if (job->finished || this->draining || monotonic_clock::now() >= current->deadline)
                return this->respond_with_tasks(current, *std::move(job));
            this->wait_for_change(current, entry->revision);
        });
}

void job_api::wait_for_change(const job_query_ptr& current, std::int64_t known_revision)
{
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(current->deadline - monotonic_clock::now());
    this->context.store.watch(job_record::page_key(current->id, 0), known_revision,
                              std::clamp(remaining, milliseconds(1), max_watch_time),
                              [this, current, guard = std::weak_ptr(this->alive)](
                                  const absl::StatusOr<kv_listing>& changes) {
                                  if (guard.expired())
                                      return;
                                  if (!changes.ok() && !absl::IsOutOfRange(changes.status()))
                                      return current->respond(store_failure(changes.status()));
                                  this->read_job(current);
                              });
}

void job_api::respond_with_tasks(const job_query_ptr& current, job_record job)
{
    if (job.pages() == 1)
        return current->respond(http_response::json(200, job_view(job).dump()));
    const auto prefix = fmt::format("job_pages/{}/", job.id);
    this->context.store.list(
        prefix, [current, job = std::move(job)](absl::StatusOr<kv_listing> listing) mutable {
            if (!listing.ok())
                return current->respond(store_failure(listing.status()));
            for (std::size_t page = 1; page < job.pages(); ++page) {
                const auto found = std::ranges::find(
                    listing->entries, job_record::page_key(job.id, page), &kv_entry::key);
                if (found != listing->entries.end() && !job.apply_page(page, found->value).ok())
                    return current->respond(store_failure(
                        absl::UnavailableError("a page of the job's record is malformed")));
            }
            current->respond(http_response::json(200, job_view(job).dump()));
        });
}

void job_api::list_team_jobs(const std::string& team, const std::string& queue,
                             std::function<void(absl::StatusOr<std::vector<job_record>>)> done)
{
    this->context.store.list(
        "jobs/", [team, queue, done = std::move(done)](absl::StatusOr<kv_listing> listing) {
            if (!listing.ok())
                return done(listing.status());
            std::vector<job_record> jobs;
            for (const auto& entry : listing->entries) {
                auto job = job_record::parse(entry.value);
                if (job.ok() && job->team == team && (queue.empty() || job->queue == queue))
                    jobs.push_back(*std::move(job));
            }
            done(std::move(jobs));
        });
}

void job_api::list_jobs(const http_request& request, http_responder respond)
{
    const auto team = this->access.team_of(request);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    const auto queue = request.query.find("queue");
    this->list_team_jobs(
        *team, queue == request.query.end() ? "" : queue->second,
        [respond = std::move(respond)](absl::StatusOr<std::vector<job_record>> jobs) {
            if (!jobs.ok())
                return respond(store_failure(jobs.status()));
            auto summaries = nlohmann::json::array();
            for (const auto& job : *jobs)
                summaries.push_back(job_summary(job));
            respond(http_response::json(200, nlohmann::json{{"jobs", summaries}}.dump()));
        });
}

void job_api::read_team_job(const std::string& id, const std::string& team, record_callback done)
{
    read_job_record(this->context.store, id,
                    [team, done = std::move(done)](absl::StatusOr<kv_entry> entry) {
                        if (!entry.ok())
                            return done(entry.status());
                        auto job = job_record::parse(entry->value);
                        if (!job.ok() || job->team != team)
                            return done(absl::NotFoundError("no such job"));
                        done(std::move(job));
                    });
}

/// The cancellation has its own key, so that any entry daemon can write it without a conflict with
/// the driver's writes of the record.
void job_api::store_cancellation(const std::string& id, std::function<void(absl::Status)> done)
{
    const auto key = fmt::format("job_cancels/{}", id);
    const auto stored = [this, id, done](const absl::Status& status) {
        if (status.ok())
            this->context.messenger.send_all(job_notice{.job = id, .what = "cancelled"});
        done(status);
    };
    this->context.store.put(
        key, "{}", 0,
        [this, key, stored,
         guard = std::weak_ptr(this->alive)](absl::StatusOr<std::int64_t> written) {
            if (guard.expired())
                return;
            if (written.ok() || absl::IsAborted(written.status()))
                return stored(absl::OkStatus()); // cancelled now or before
            this->context.store.get(key, [stored, guard](const absl::StatusOr<kv_entry>& entry) {
                if (!guard.expired())
                    stored(entry.status());
            });
        });
}

void job_api::cancel_job(const http_request& request, const std::string& id, http_responder respond)
{
    const auto team = this->access.team_of(request);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    this->read_team_job(
        id, *team, [this, id, respond = std::move(respond)](absl::StatusOr<job_record> job) {
            if (absl::IsNotFound(job.status()))
                return respond(no_such_job(id));
            if (!job.ok())
                return respond(store_failure(job.status()));
            if (job->finished)
                return respond(http_response::json(200, job_summary(*job).dump()));
            this->store_cancellation(id, [id, respond](const absl::Status& stored) {
                if (!stored.ok())
                    return respond(
                        problem{.status = 503,
                                .outcome = work_outcome::unknown,
                                .code = "store_unreachable",
                                .message = "it is unknown whether the cancellation was stored",
                                .retry_after = milliseconds(2000)}
                            .response());
                respond(http_response::json(
                    200, nlohmann::json{{"job", id}, {"cancelled", true}}.dump()));
            });
        });
}

void job_api::cancel_queue(const http_request& request, http_responder respond)
{
    /// The cancellation of all jobs of a queue.
    struct cancellation_batch {
        std::vector<std::string> remaining;
        std::vector<std::string> stored;
        std::vector<std::string> failed;
        std::size_t in_flight = 0;
        std::function<void()> next;
    };
    const auto team = this->access.team_of(request);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("queue") || !body["queue"].is_string())
        return respond(not_run_response(
            absl::InvalidArgumentError("the body is not {\"queue\": NAME}"), "bad_cancel"));
    this->list_team_jobs(
        *team, body["queue"].get<std::string>(),
        [this, respond = std::move(respond),
         guard = std::weak_ptr(this->alive)](absl::StatusOr<std::vector<job_record>> jobs) {
            if (guard.expired())
                return;
            if (!jobs.ok())
                return respond(store_failure(jobs.status()));
            const auto current = std::make_shared<cancellation_batch>();
            for (const auto& job : *jobs) {
                if (!job.finished)
                    current->remaining.push_back(job.id);
            }
            current->next = [this, current, respond] {
                while (current->in_flight < max_concurrent_cancellations &&
                       !current->remaining.empty()) {
                    const auto id = current->remaining.back();
                    current->remaining.pop_back();
                    ++current->in_flight;
                    this->store_cancellation(id, [current, id](const absl::Status& stored) {
                        --current->in_flight;
                        (stored.ok() ? current->stored : current->failed).push_back(id);
                        current->next();
                    });
                }
                if (current->in_flight > 0 || !current->remaining.empty() || !current->next)
                    return;
                respond(http_response::json(200, nlohmann::json{{"cancelled", current->stored},
                                                                {"not_known", current->failed}}
                                                     .dump()));
                current->next = nullptr;
            };
            const auto begin = current->next;
            begin();
        });
}

} // namespace verbenalever
