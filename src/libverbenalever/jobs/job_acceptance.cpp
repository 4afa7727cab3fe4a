#include "jobs/job_acceptance.h"

#include "access/access_control.h"
#include "access/key_digest.h"
#include "configuration/configuration_store.h"
#include "http/problem.h"
#include "jobs/fleet_view.h"
#include "jobs/job_context.h"
#include "jobs/job_drivers.h"
#include "jobs/job_lookup.h"
#include "jobs/job_messenger.h"
#include "jobs/job_notice.h"
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
/// After a failed call, submissions are refused for this long without a call to the store. After
/// that one submission at a time is tried, until a call succeeds.
constexpr milliseconds store_probe_interval{500};
/// A lookup that took longer is repeated before the create. Far shorter than the time for which
/// finished jobs stay under their first key.
constexpr milliseconds max_lookup_age{10000};
/// Value of the page's key when a submission was refused after its create had been sent.
constexpr std::string_view blocked_marker = R"({"blocked":true})";

std::string make_job_id(const std::string& team, const std::string& caller_id)
{
    constexpr std::size_t digest_digits = 32;
    if (caller_id.empty())
        return make_unique_id("job");
    return "job-" + key_digest(team + "\n" + caller_id).substr(0, digest_digits);
}

http_response store_down_response()
{
    return problem{.status = http_status_of(absl::StatusCode::kUnavailable),
                   .outcome = work_outcome::not_run,
                   .code = "store_unreachable",
                   .message = "the key-value service does not answer, so the job was not accepted",
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

job_acceptance::job_acceptance(const job_context& context, configuration_store& configuration,
                               access_control& access, job_drivers& drivers)
    : context(context), configuration(configuration), access(access), drivers(drivers)
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
    const bool pausing = monotonic_clock::now() < this->store_retry_at;
    if (this->store_suspect && (pausing || this->probe_in_flight))
        return respond(store_down_response());
    if (auto fits =
            this->context.fleet.fits_idle_fleet(demand, submission->tasks, submission->gang);
        !fits.ok())
        return respond(not_run_response(fits, "never_fits"));
    auto current = std::make_shared<submission_state>();
    current->record = {.id = make_job_id(*team, submission->id),
                       .queue = submission->queue,
                       .team = *team,
                       .driver = this->context.settings.name,
                       .writer = this->context.writer,
                       .demand = demand,
                       .command = submission->command,
                       .gang = submission->gang,
                       .service = submission->service,
                       .repeatable = submission->repeatable,
                       .tasks = std::vector<job_task>(submission->tasks)};
    current->respond = std::move(respond);
    current->is_probe = this->store_suspect;
    this->probe_in_flight = this->probe_in_flight || current->is_probe;
    this->check_existing(current);
}

/// Reads before writing: the read finds a job that was submitted under the same id, and fails
/// without any write while the store does not answer.
void job_acceptance::check_existing(const submission_ptr& current)
{
    current->read_at = monotonic_clock::now();
    read_job_record(
        this->context.store, current->record.id,
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_entry> entry) {
            if (guard.expired())
                return;
            if (current->is_probe)
                this->probe_in_flight = false;
            if (!entry.ok() && !absl::IsNotFound(entry.status())) {
                this->mark_store_suspect();
                return current->respond(store_down_response());
            }
            this->store_suspect = false;
            if (entry.ok() && entry->value != blocked_marker)
                return this->respond_to_existing(current, *entry);
            // If this process was paused, the job may have been created and archived since the
            // read.
            if (monotonic_clock::now() - current->read_at > max_lookup_age)
                return this->check_existing(current);
            current->expected_revision = entry.ok() ? entry->revision : 0;
            this->create_record(current);
        });
}

void job_acceptance::create_record(const submission_ptr& current)
{
    // The sequence number distinguishes this text from that of other submissions in this process.
    current->record.sequence = monotonic_microseconds();
    current->serialized_page = current->record.serialize_page(0);
    this->context.store.put(
        job_record::page_key(current->record.id, 0), current->serialized_page,
        current->expected_revision,
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<std::int64_t> revision) {
            if (guard.expired())
                return;
            if (revision.ok())
                return this->finish_accepted(current, *revision);
            this->read_back(current);
        });
}

void job_acceptance::read_back(const submission_ptr& current)
{
    this->context.metrics.add("jobs_read_back");
    this->context.store.get(
        job_record::page_key(current->record.id, 0),
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_entry> entry) {
            if (guard.expired())
                return;
            if (entry.ok() && entry->value == current->serialized_page)
                return this->finish_accepted(current, entry->revision);
            if (entry.ok() && entry->value != blocked_marker)
                return this->respond_to_existing(current, *entry);
            if (!entry.ok() && !absl::IsNotFound(entry.status())) {
                this->mark_store_suspect();
                return this->respond_unknown(current);
            }
            this->write_blocked_marker(current);
        });
}

/// The page was not found, but the create may still arrive at the store. A marker under the same
/// key makes it fail.
void job_acceptance::write_blocked_marker(const submission_ptr& current)
{
    this->mark_store_suspect();
    this->context.store.put(
        job_record::page_key(current->record.id, 0), std::string(blocked_marker),
        current->expected_revision,
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<std::int64_t> revision) {
            if (guard.expired())
                return;
            if (revision.ok())
                return current->respond(store_down_response());
            this->read_back_after_marker(current);
        });
}

/// Neither the create nor the marker is known to have taken effect. Reads the key once more; if
/// that does not decide it, the answer is "unknown".
void job_acceptance::read_back_after_marker(const submission_ptr& current)
{
    this->context.store.get(
        job_record::page_key(current->record.id, 0),
        [this, current, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_entry> entry) {
            if (guard.expired())
                return;
            if (!entry.ok())
                return this->respond_unknown(current);
            if (entry->value == current->serialized_page)
                return this->finish_accepted(current, entry->revision);
            if (entry->value == blocked_marker && entry->revision > current->expected_revision)
                return current->respond(store_down_response());
            if (entry->value == blocked_marker)
                return this->respond_unknown(current);
            this->respond_to_existing(current, *entry);
        });
}

void job_acceptance::finish_accepted(const submission_ptr& current, std::int64_t revision)
{
    this->context.metrics.add("jobs_accepted");
    this->context.log.write("jobs", "job_accepted",
                            {{"job", current->record.id},
                             {"team", current->record.team},
                             {"tasks", current->record.tasks.size()}});
    current->respond(accepted_response(current->record.id));
    this->drivers.start(std::move(current->record), revision);
}

void job_acceptance::respond_to_existing(const submission_ptr& current, const kv_entry& entry)
{
    const auto known = job_record::parse(entry.value);
    if (known.ok() && same_work(*known, current->record))
        return current->respond(accepted_response(known->id));
    current->respond(not_run_response(
        absl::AlreadyExistsError("another job was submitted under this id"), "id_reused"));
}

void job_acceptance::mark_store_suspect()
{
    this->store_suspect = true;
    this->store_retry_at = monotonic_clock::now() + store_probe_interval;
}

void job_acceptance::respond_unknown(const submission_ptr& current)
{
    // If the create took effect, the record names this entry daemon as the driver: start an
    // adoption scan.
    this->context.messenger.send(this->context.settings.name,
                                 job_notice{.job = current->record.id, .what = "released"});
    const auto message =
        fmt::format("it is unknown whether the key-value service stored the job; query job {}",
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
