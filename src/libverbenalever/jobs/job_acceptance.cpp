#include "jobs/job_acceptance.h"

#include "access/access_control.h"
#include "access/key_digest.h"
#include "configuration/configuration_store.h"
#include "http/problem.h"
#include "jobs/fleet_view.h"
#include "jobs/job_drivers.h"
#include "jobs/job_lookup.h"
#include "jobs/job_mailbox.h"
#include "jobs/job_notice.h"
#include "jobs/job_services.h"
#include "jobs/job_submission.h"
#include "loop/unique_id.h"
#include "store/kv_client.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace verbenalever {

namespace {

constexpr int status_accepted = 202;
constexpr milliseconds store_retry_after{2000};
/// After a failed call, submissions are refused without asking the store for this long; then one
/// at a time asks.
constexpr milliseconds store_pause{500};
/// A look-up older than this is done again; far shorter than finished jobs rest.
constexpr milliseconds longest_look_up{10000};
/// Value of a key under which a submission was refused after its create had been sent.
constexpr std::string_view blocked_text = R"({"blocked":true})";

std::string job_id(const std::string& team, const std::string& caller_id)
{
    constexpr std::size_t digits = 32;
    if (caller_id.empty())
        return make_unique_id("job");
    return "job-" + key_digest(team + "\n" + caller_id).substr(0, digits);
}

http_response store_down_response()
{
    return problem{.status = http_status_of(absl::StatusCode::kUnavailable),
                   .outcome = work_outcome::not_run,
                   .code = "store_unreachable",
                   .message = "the key-value service does not answer, so nothing is accepted",
                   .retry_after = store_retry_after}
        .response();
}

http_response accepted_response(const std::string& job)
{
    return http_response::json(status_accepted, nlohmann::json{{"job", job}}.dump());
}

bool same_work(const job_record& left, const job_record& right)
{
    return left.queue == right.queue && left.tasks.size() == right.tasks.size() &&
           left.demand == right.demand && left.command == right.command &&
           left.gang == right.gang && left.service == right.service &&
           left.repeatable == right.repeatable;
}

} // namespace

job_acceptance::job_acceptance(const job_services& services, configuration_store& configuration,
                               access_control& access, job_drivers& drivers)
    : services(services), configuration(configuration), access(access), drivers(drivers)
{
}

void job_acceptance::stop()
{
    this->stopped = true;
}

void job_acceptance::submit(const http_request& request, http_responder respond)
{
    if (this->stopped)
        return respond(
            not_run_response(absl::UnavailableError("this entry is stopping"), "draining"));
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
    const auto demand = submission->demand.value_or(queue->second.demand);
    const bool pausing = monotonic_clock::now() < this->store_down_until;
    if (this->store_suspect && (pausing || this->probing))
        return respond(store_down_response());
    if (auto fits = this->services.fleet.could_run(demand, submission->tasks, submission->gang);
        !fits.ok())
        return respond(not_run_response(fits, "never_fits"));
    auto current = std::make_shared<acceptance>();
    current->record = {.id = job_id(*team, submission->id),
                       .queue = submission->queue,
                       .team = *team,
                       .driver = this->services.settings.name,
                       .writer = this->services.writer,
                       .demand = demand,
                       .command = submission->command,
                       .gang = submission->gang,
                       .service = submission->service,
                       .repeatable = submission->repeatable,
                       .tasks = std::vector<job_task>(submission->tasks)};
    current->respond = std::move(respond);
    current->probe = this->store_suspect;
    this->probing = this->probing || current->probe;
    this->look_up(current);
}

/// A read goes first: it finds a job submitted before under the same id, and while the store is
/// down it fails before anything could be written.
void job_acceptance::look_up(const acceptance_ptr& current)
{
    current->looked_up = monotonic_clock::now();
    look_up_job(
        this->services.store, current->record.id,
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_entry> entry) {
            if (guard.expired())
                return;
            if (current->probe)
                this->probing = false;
            if (!entry.ok() && !absl::IsNotFound(entry.status())) {
                this->store_failed();
                return current->respond(store_down_response());
            }
            this->store_suspect = false;
            if (entry.ok() && entry->value != blocked_text)
                return this->answer_existing(current, *entry);
            // After a pause of this process the job may have come and gone: look again.
            if (monotonic_clock::now() - current->looked_up > longest_look_up)
                return this->look_up(current);
            current->expected = entry.ok() ? entry->revision : 0;
            this->create(current);
        });
}

void job_acceptance::create(const acceptance_ptr& current)
{
    // The sequence number tells this create from one of another submission in this process.
    current->record.sequence = monotonic_microseconds();
    current->text = current->record.page_text(0);
    this->services.store.put(
        job_record::page_key(current->record.id, 0), current->text, current->expected,
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<std::int64_t> revision) {
            if (guard.expired())
                return;
            if (revision.ok())
                return this->accepted(current, *revision);
            this->resolve(current);
        });
}

void job_acceptance::resolve(const acceptance_ptr& current)
{
    this->services.metrics.add("jobs_read_back");
    this->services.store.get(
        job_record::page_key(current->record.id, 0),
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_entry> entry) {
            if (guard.expired())
                return;
            if (entry.ok() && entry->value == current->text)
                return this->accepted(current, entry->revision);
            if (entry.ok() && entry->value != blocked_text)
                return this->answer_existing(current, *entry);
            if (!entry.ok() && !absl::IsNotFound(entry.status())) {
                this->store_failed();
                return this->answer_unknown(current);
            }
            this->block(current);
        });
}

/// The create is not there, but may still be on its way: take its place, so that it must fail.
void job_acceptance::block(const acceptance_ptr& current)
{
    this->store_failed();
    this->services.store.put(
        job_record::page_key(current->record.id, 0), std::string(blocked_text), current->expected,
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<std::int64_t> revision) {
            if (guard.expired())
                return;
            if (revision.ok())
                return current->respond(store_down_response());
            this->resolve_late(current);
        });
}

/// Neither the create nor the marker is known to have taken effect: look once more, then say so.
void job_acceptance::resolve_late(const acceptance_ptr& current)
{
    this->services.store.get(
        job_record::page_key(current->record.id, 0),
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_entry> entry) {
            if (guard.expired())
                return;
            if (!entry.ok())
                return this->answer_unknown(current);
            if (entry->value == current->text)
                return this->accepted(current, entry->revision);
            if (entry->value == blocked_text && entry->revision > current->expected)
                return current->respond(store_down_response());
            if (entry->value == blocked_text)
                return this->answer_unknown(current);
            this->answer_existing(current, *entry);
        });
}

void job_acceptance::accepted(const acceptance_ptr& current, std::int64_t revision)
{
    this->services.metrics.add("jobs_accepted");
    this->services.log.write("jobs", "job_accepted",
                             {{"job", current->record.id},
                              {"team", current->record.team},
                              {"tasks", current->record.tasks.size()}});
    current->respond(accepted_response(current->record.id));
    this->drivers.begin(std::move(current->record), revision);
}

void job_acceptance::answer_existing(const acceptance_ptr& current, const kv_entry& entry)
{
    const auto known = job_record::parse(entry.value);
    if (known.ok() && same_work(*known, current->record))
        return current->respond(accepted_response(known->id));
    current->respond(not_run_response(
        absl::AlreadyExistsError("another job was submitted under this id"), "id_reused"));
}

void job_acceptance::store_failed()
{
    this->store_suspect = true;
    this->store_down_until = monotonic_clock::now() + store_pause;
}

void job_acceptance::answer_unknown(const acceptance_ptr& current)
{
    // If the create did take effect, the job stands in this entry's name: let adoption look.
    this->services.mailbox.send(this->services.settings.name,
                                job_notice{.job = current->record.id, .what = "released"});
    const auto message =
        fmt::format("the key-value service did not say whether it has the job; look for {}",
                    current->record.id);
    auto response = problem{.status = http_status_of(absl::StatusCode::kDeadlineExceeded),
                            .outcome = work_outcome::unknown,
                            .code = "store_unreachable",
                            .message = message,
                            .retry_after = store_retry_after}
                        .response();
    auto body = nlohmann::json::parse(response.body);
    body["job"] = current->record.id;
    response.body = body.dump();
    current->respond(std::move(response));
}

} // namespace verbenalever
