#include "jobs/job_api.h"

#include "access/access_control.h"
#include "http/problem.h"
#include "http/router.h"
#include "jobs/job_lookup.h"
#include "jobs/job_mailbox.h"
#include "jobs/job_notice.h"
#include "jobs/job_services.h"
#include "jobs/job_view.h"
#include "store/kv_client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace verbenalever {

namespace {

constexpr milliseconds longest_wait{30000};
/// One watch of the store lasts no longer, so that a planned stop is noticed in between.
constexpr milliseconds longest_watch{5000};
/// Cancellations of one wave under way at a time, so that it leaves the store room for other work.
constexpr std::size_t wave_width = 8;

http_response no_such_job(const std::string& id)
{
    return not_run_response(absl::NotFoundError(fmt::format("there is no job '{}'", id)),
                            "no_such_job");
}

http_response store_failure(const absl::Status& status)
{
    return not_run_response(absl::UnavailableError(status.message()), "store_unreachable");
}

milliseconds wait_of(const http_request& request)
{
    std::int64_t wait = 0;
    if (const auto found = request.query.find("wait"); found != request.query.end())
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), wait);
    return std::clamp(milliseconds(wait), milliseconds(0), longest_wait);
}

} // namespace

job_api::job_api(const job_services& services, access_control& access)
    : services(services), access(access)
{
}

void job_api::add_routes(router& routes)
{
    routes.add("GET", "/v1/jobs",
               [this](const http_request& request, const path_parameters&, http_responder respond) {
                   this->list(request, std::move(respond));
               });
    routes.add("GET", "/v1/jobs/{id}",
               [this](const http_request& request, const path_parameters& parameters,
                      http_responder respond) {
                   this->show(request, parameters.at("id"), std::move(respond));
               });
    routes.add("POST", "/v1/jobs/cancel",
               [this](const http_request& request, const path_parameters&, http_responder respond) {
                   this->cancel_many(request, std::move(respond));
               });
    routes.add("POST", "/v1/jobs/{id}/cancel",
               [this](const http_request& request, const path_parameters& parameters,
                      http_responder respond) {
                   this->cancel_one(request, parameters.at("id"), std::move(respond));
               });
}

void job_api::drain()
{
    this->draining = true;
}

void job_api::show(const http_request& request, const std::string& id, http_responder respond)
{
    const auto team = this->access.team_of(request);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    this->look(std::make_shared<inquiry>(inquiry{.id = id,
                                                 .team = *team,
                                                 .until = monotonic_clock::now() + wait_of(request),
                                                 .respond = std::move(respond)}));
}

void job_api::look(const inquiry_ptr& current)
{
    look_up_job(
        this->services.store, current->id,
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_entry> entry) {
            if (guard.expired())
                return;
            if (!entry.ok() && !absl::IsNotFound(entry.status()))
                return current->respond(store_failure(entry.status()));
            auto job = entry.ok() ? job_record::parse(entry->value) : entry.status();
            if (!job.ok() || job->team != current->team)
                return current->respond(no_such_job(current->id));
            if (job->finished || this->draining || monotonic_clock::now() >= current->until)
                return this->show_tasks(current, *std::move(job));
            this->wait(current, entry->revision);
        });
}

void job_api::wait(const inquiry_ptr& current, std::int64_t since)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(current->until - monotonic_clock::now());
    this->services.store.watch(job_record::page_key(current->id, 0), since,
                               std::clamp(left, milliseconds(1), longest_watch),
                               [this, current, guard = std::weak_ptr(this->alive)](
                                   const absl::StatusOr<kv_listing>& changes) {
                                   if (guard.expired())
                                       return;
                                   if (!changes.ok() && !absl::IsOutOfRange(changes.status()))
                                       return current->respond(store_failure(changes.status()));
                                   this->look(current);
                               });
}

void job_api::show_tasks(const inquiry_ptr& current, job_record job)
{
    if (job.pages() == 1)
        return current->respond(http_response::json(200, job_view(job).dump()));
    const auto prefix = fmt::format("job_pages/{}/", job.id);
    this->services.store.list(
        prefix, [current, job = std::move(job)](absl::StatusOr<kv_listing> listing) mutable {
            if (!listing.ok())
                return current->respond(store_failure(listing.status()));
            for (std::size_t page = 1; page < job.pages(); ++page) {
                const auto found = std::ranges::find(
                    listing->entries, job_record::page_key(job.id, page), &kv_entry::key);
                if (found != listing->entries.end() && !job.read_page(page, found->value).ok())
                    return current->respond(
                        store_failure(absl::UnavailableError("a page is malformed")));
            }
            current->respond(http_response::json(200, job_view(job).dump()));
        });
}

void job_api::list_team(const std::string& team, const std::string& queue,
                        std::function<void(absl::StatusOr<std::vector<job_record>>)> done)
{
    this->services.store.list(
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

void job_api::list(const http_request& request, http_responder respond)
{
    const auto team = this->access.team_of(request);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    const auto queue = request.query.find("queue");
    this->list_team(*team, queue == request.query.end() ? "" : queue->second,
                    [respond = std::move(respond)](absl::StatusOr<std::vector<job_record>> jobs) {
                        if (!jobs.ok())
                            return respond(store_failure(jobs.status()));
                        auto shown = nlohmann::json::array();
                        for (const auto& job : *jobs)
                            shown.push_back(job_summary(job));
                        respond(http_response::json(200, nlohmann::json{{"jobs", shown}}.dump()));
                    });
}

void job_api::read(const std::string& id, const std::string& team, record_callback done)
{
    look_up_job(this->services.store, id,
                [team, done = std::move(done)](absl::StatusOr<kv_entry> entry) {
                    if (!entry.ok())
                        return done(entry.status());
                    auto job = job_record::parse(entry->value);
                    if (!job.ok() || job->team != team)
                        return done(absl::NotFoundError("no such job"));
                    done(std::move(job));
                });
}

/// The cancellation is a key of its own, so that any entry can keep it beside the driver's writes.
void job_api::keep_cancel(const std::string& id, std::function<void(absl::Status)> done)
{
    const auto key = fmt::format("job_cancels/{}", id);
    const auto kept = [this, id, done](const absl::Status& status) {
        if (status.ok())
            this->services.mailbox.send_all(job_notice{.job = id, .what = "cancelled"});
        done(status);
    };
    this->services.store.put(
        key, "{}", 0,
        [this, key, kept,
         guard = std::weak_ptr(this->alive)](absl::StatusOr<std::int64_t> written) {
            if (guard.expired())
                return;
            if (written.ok() || absl::IsAborted(written.status()))
                return kept(absl::OkStatus()); // cancelled now or before
            this->services.store.get(key, [kept, guard](const absl::StatusOr<kv_entry>& entry) {
                if (!guard.expired())
                    kept(entry.status());
            });
        });
}

void job_api::cancel_one(const http_request& request, const std::string& id, http_responder respond)
{
    const auto team = this->access.team_of(request);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    this->read(id, *team, [this, id, respond = std::move(respond)](absl::StatusOr<job_record> job) {
        if (absl::IsNotFound(job.status()))
            return respond(no_such_job(id));
        if (!job.ok())
            return respond(store_failure(job.status()));
        if (job->finished)
            return respond(http_response::json(200, job_summary(*job).dump()));
        this->keep_cancel(id, [id, respond](const absl::Status& kept) {
            if (!kept.ok())
                return respond(problem{.status = 503,
                                       .outcome = work_outcome::unknown,
                                       .code = "store_unreachable",
                                       .message = "the cancellation may or may not be kept",
                                       .retry_after = milliseconds(2000)}
                                   .response());
            respond(
                http_response::json(200, nlohmann::json{{"job", id}, {"cancelled", true}}.dump()));
        });
    });
}

void job_api::cancel_many(const http_request& request, http_responder respond)
{
    /// One wave of cancellations.
    struct wave {
        std::vector<std::string> left;
        std::vector<std::string> kept;
        std::vector<std::string> failed;
        std::size_t under_way = 0;
        std::function<void()> next;
    };
    const auto team = this->access.team_of(request);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("queue") || !body["queue"].is_string())
        return respond(not_run_response(
            absl::InvalidArgumentError("the body is not {\"queue\": NAME}"), "bad_cancel"));
    this->list_team(
        *team, body["queue"].get<std::string>(),
        [this, respond = std::move(respond),
         guard = std::weak_ptr(this->alive)](absl::StatusOr<std::vector<job_record>> jobs) {
            if (guard.expired())
                return;
            if (!jobs.ok())
                return respond(store_failure(jobs.status()));
            const auto current = std::make_shared<wave>();
            for (const auto& job : *jobs) {
                if (!job.finished)
                    current->left.push_back(job.id);
            }
            current->next = [this, current, respond] {
                while (current->under_way < wave_width && !current->left.empty()) {
                    const auto id = current->left.back();
                    current->left.pop_back();
                    ++current->under_way;
                    this->keep_cancel(id, [current, id](const absl::Status& kept) {
                        --current->under_way;
                        (kept.ok() ? current->kept : current->failed).push_back(id);
                        current->next();
                    });
                }
                if (current->under_way > 0 || !current->left.empty() || !current->next)
                    return;
                respond(http_response::json(200, nlohmann::json{{"cancelled", current->kept},
                                                                {"not_known", current->failed}}
                                                     .dump()));
                current->next = nullptr;
            };
            const auto begin = current->next;
            begin();
        });
}

} // namespace verbenalever
