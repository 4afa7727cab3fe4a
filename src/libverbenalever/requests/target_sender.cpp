#include "requests/target_sender.h"

#include "requests/request_work.h"
#include "scheduling/target_slowness_tracker.h"
#include "targets/target_client.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace verbenalever {

namespace {

constexpr int status_conflict = 409;
constexpr std::size_t max_refusal_bytes = 256;

/// @return whether the target refused to start the request; a 409 may also be the request's answer
bool is_start_refusal(const http_result& result)
{
    if (result.status != status_conflict || result.body.size() > max_refusal_bytes)
        return false;
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object() || !json.contains("reason"))
        return false;
    return json["reason"] == "epoch_too_old" || json["reason"] == "no_room";
}

} // namespace

target_sender::target_sender(target_registry& registry, target_client& client, counters& metrics,
                             const event_log& log)
    : registry(registry), client(client), metrics(metrics), log(log)
{
    this->registry.set_health_filter([this](const target_record& target) {
        // Only requests are used as probes: jobs and the free slots that peers are told leave out
        // targets on probation.
        if (this->avoided == nullptr)
            return !this->health.on_probation(target.vm.name);
        return !this->avoided->contains(target.vm.name) &&
               this->health.accepts_work(target.vm.name, monotonic_clock::now());
    });
}

target_sender::~target_sender()
{
    this->registry.set_health_filter({});
}

void target_sender::configure(const operator_configuration& configuration)
{
    this->placements.configure(configuration);
}

std::optional<std::string> target_sender::place(const request_work& work, const target_set& avoided)
{
    this->avoided = &avoided;
    auto target = this->registry.place(this->placements.policy_for(work.queue), work.team,
                                       work.demand, work.id);
    this->avoided = nullptr;
    return target;
}

void target_sender::send(const request_work& work, const std::string& target, microseconds timeout,
                         done_callback done)
{
    const auto* record = this->registry.find(target);
    const auto epoch = record->lease_epoch;
    const auto call_timeout = std::max(std::chrono::ceil<milliseconds>(timeout), milliseconds(1));
    const auto sent = monotonic_clock::now();
    this->health.record_start(target, sent);
    this->placements.slowness_tracker().request_sent(target, sent);
    this->log.write("requests", "request_sent",
                    {{"request", work.id}, {"target", target}, {"team", work.team}});
    // The body is left out of the copy: it may be large and is not needed for the result.
    const request_work work_without_body{.id = work.id,
                                         .queue = work.queue,
                                         .team = work.team,
                                         .repeatable = work.repeatable,
                                         .body = {},
                                         .demand = work.demand,
                                         .deadline = work.deadline};
    this->client.send_request(
        record->vm.address, work.id, work.team, epoch, work.body, call_timeout,
        [this, work_without_body, target, sent, done = std::move(done)](http_result response) {
            auto result = target_sender::classify(work_without_body, std::move(response));
            this->handle_attempt_end(work_without_body, target, sent, result);
            done(std::move(result));
        });
}

attempt_result target_sender::classify(const request_work& work, http_result result)
{
    if (!result.transport.ok()) {
        const bool timed_out = absl::IsDeadlineExceeded(result.transport);
        if (!result.may_have_been_sent)
            return {.outcome = attempt_outcome::not_run,
                    .code = "target_unreachable",
                    .timed_out = timed_out};
        return {.outcome = attempt_outcome::unknown, .code = "no_answer", .timed_out = timed_out};
    }
    if (is_start_refusal(result))
        return {.outcome = attempt_outcome::not_run, .code = "target_refused"};
    return {.outcome = attempt_outcome::answered,
            .response = {.status = result.status,
                         .headers = {{"Content-Type", std::string(result.header("Content-Type"))},
                                     {"Request-Id", work.id}},
                         .body = std::move(result.body)},
            .code = {}};
}

void target_sender::handle_attempt_end(const request_work& work, const std::string& target,
                                       monotonic_time sent, const attempt_result& result)
{
    const bool refused = result.code == "target_refused";
    const bool failed = result.outcome != attempt_outcome::answered || result.failed();
    const auto now = monotonic_clock::now();
    if (failed)
        this->placements.slowness_tracker().request_failed(target);
    else
        this->placements.slowness_tracker().request_answered(
            target, work.queue, std::chrono::ceil<milliseconds>(now - sent), now);
    if (!refused && this->health.record_end(target, work.queue + "/" + work.team, failed,
                                            monotonic_clock::now())) {
        this->metrics.add("target_health_changes");
        this->log.write("targets", "target_health",
                        {{"target", target}, {"probation", this->health.on_probation(target)}});
    }
    // Work that may still run keeps its reservation until the target is known not to run it.
    if (result.outcome == attempt_outcome::unknown)
        this->registry.mark_unconfirmed(target, work.id);
    else
        this->registry.release(target, work.team, work.demand, work.id);
}

} // namespace verbenalever
