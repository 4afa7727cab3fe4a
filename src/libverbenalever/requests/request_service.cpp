#include "requests/request_service.h"

#include "access/access_control.h"
#include "configuration/configuration_store.h"
#include "http/problem.h"
#include "http/router.h"
#include "loop/unique_id.h"
#include "scheduling/policy_factory.h"
#include "scheduling/queue_policy.h"
#include "scheduling/target_rates.h"
#include "targets/target_client.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace verbenalever {

namespace {

constexpr milliseconds expiry_interval{10};
constexpr milliseconds longest_deadline{600'000};
constexpr milliseconds retry_after_drain{1000};
constexpr milliseconds retry_after_full{500};
constexpr int status_conflict = 409;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;

absl::StatusOr<milliseconds> requested_deadline(const http_request& request, milliseconds otherwise)
{
    const auto text = request.header("Deadline-Ms");
    if (text.empty())
        return otherwise;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value <= 0 ||
        value > longest_deadline.count())
        return absl::InvalidArgumentError(
            fmt::format("Deadline-Ms: '{}' is not a number of milliseconds from 1 to {}", text,
                        longest_deadline.count()));
    return milliseconds(value);
}

absl::StatusOr<bool> requested_repeatable(const http_request& request)
{
    const auto text = request.header("Repeatable");
    if (text.empty() || text == "true" || text == "false")
        return text == "true";
    return absl::InvalidArgumentError(
        fmt::format("Repeatable: '{}' is neither true nor false", text));
}

} // namespace

request_service::request_service(event_loop& loop, configuration_store& configuration,
                                 access_control& access, target_registry& registry,
                                 target_client& client, share_ledger& shares, counters& metrics,
                                 const event_log& log)
    : configuration(configuration), access(access), registry(registry), client(client),
      metrics(metrics), log(log), waiting(make_queue_policy(configuration.current(), shares)),
      expiry_timer(loop, [this] { this->expire(); })
{
    this->registry.on_room([this] { this->dispatch(); });
    this->configuration.on_change([this, &shares](const operator_configuration& changed) {
        this->waiting = remake_queue_policy(*this->waiting, changed, shares);
        this->placements.configure(changed);
    });
    this->expiry_timer.start_repeating(expiry_interval);
}

request_service::~request_service() = default;

void request_service::add_routes(router& routes)
{
    routes.add("POST", "/v1/requests/{queue}",
               [this](const http_request& request, const path_parameters& parameters,
                      http_responder respond) {
                   this->take(request, parameters.at("queue"), std::move(respond));
               });
}

void request_service::drain()
{
    this->draining = true;
}

std::size_t request_service::held() const
{
    return this->requests.size();
}

void request_service::take(const http_request& request, const std::string& queue_name,
                           http_responder respond)
{
    const auto& queues = this->configuration.current().queues;
    const auto queue = queues.find(queue_name);
    if (queue == queues.end())
        return respond(
            not_run_response(absl::NotFoundError(fmt::format("there is no queue '{}'", queue_name)),
                             "no_such_queue"));
    const auto team = this->access.admit(request, queue->second);
    if (!team.ok())
        return respond(not_run_response(team.status(), "key_refused"));
    const auto deadline = requested_deadline(request, queue->second.deadline);
    if (!deadline.ok())
        return respond(not_run_response(deadline.status(), "bad_header"));
    const auto repeatable = requested_repeatable(request);
    if (!repeatable.ok())
        return respond(not_run_response(repeatable.status(), "bad_header"));
    const auto now = monotonic_clock::now();
    this->enqueue({.number = ++this->last_number,
                   .id = make_unique_id("req"),
                   .caller_id = std::string(request.header("Request-Id")),
                   .queue = queue_name,
                   .team = *team,
                   .repeatable = *repeatable,
                   .body = request.body,
                   .demand = queue->second.demand,
                   .arrival = now,
                   .deadline = now + *deadline,
                   .respond = std::move(respond),
                   .sent = {},
                   .target = {}});
}

void request_service::enqueue(held_request request)
{
    this->metrics.add("requests_received");
    this->log.write("requests", "request_taken",
                    {{"request", request.id},
                     {"caller_id", request.caller_id},
                     {"team", request.team},
                     {"queue", request.queue},
                     {"repeatable", request.repeatable}});
    const auto& queue = this->configuration.current().queues.find(request.queue)->second;
    if (this->draining || queue.stopped)
        return this->refuse(request, status_unavailable,
                            queue.stopped ? "queue_stopped" : "entry_draining",
                            "no new work is taken here now");
    if (this->waiting->size_of(request.queue) >= queue.length_limit)
        return this->refuse(request, status_too_many, "queue_full", "the queue is full");
    const auto number = request.number;
    queued_work work{.id = number,
                     .queue = request.queue,
                     .team = request.team,
                     .priority = queue.priority,
                     .arrival = request.arrival,
                     .deadline = request.deadline,
                     .demand = request.demand};
    this->requests.emplace(number, std::move(request));
    this->waiting->push(std::move(work));
    this->dispatch();
}

void request_service::dispatch()
{
    if (this->dispatching)
        return;
    this->dispatching = true;
    std::optional<std::string> target;
    const auto can_start = [this, &target](const queued_work& work) {
        target = this->registry.place(this->placements.of(work.queue), work.team, work.demand);
        if (!target && !this->registry.has_room(work.demand))
            return start_verdict::no_room();
        return start_verdict(target.has_value());
    };
    while (const auto work = this->waiting->next(can_start, monotonic_clock::now()))
        this->send(this->requests.at(work->id), *target);
    this->dispatching = false;
}

void request_service::send(held_request& request, const std::string& target)
{
    const auto* record = this->registry.find(target);
    request.target = target;
    request.sent = monotonic_clock::now();
    this->placements.rates().sent(target, request.sent);
    const auto left = std::chrono::ceil<milliseconds>(request.deadline - monotonic_clock::now());
    this->log.write("requests", "request_sent",
                    {{"request", request.id}, {"target", target}, {"team", request.team}});
    this->client.send_request(record->vm.address, request.id, request.team, record->lease_epoch,
                              request.body, std::max(left, milliseconds(1)),
                              [this, number = request.number](http_result result) {
                                  this->answered(number, std::move(result));
                              });
}

void request_service::answered(std::uint64_t number, http_result result)
{
    auto& request = this->requests.at(number);
    const bool refused = result.transport.ok() && result.status == status_conflict;
    const bool not_sent = !result.transport.ok() && !result.may_have_been_sent;
    const auto now = monotonic_clock::now();
    if (result.success())
        this->placements.rates().answered(request.target, request.queue,
                                          std::chrono::ceil<milliseconds>(now - request.sent), now);
    else
        this->placements.rates().lost(request.target);
    if (result.success()) {
        this->metrics.add("requests_answered");
        this->log.write("requests", "request_answered", {{"request", request.id}});
        request.respond({.status = result.status,
                         .headers = {{"Content-Type", std::string(result.header("Content-Type"))},
                                     {"Request-Id", request.id}},
                         .body = std::move(result.body)});
    }
    else if (refused || not_sent) {
        this->refuse(request, status_unavailable, "target_refused",
                     "the target did not take the request");
    }
    else {
        this->metrics.add("requests_outcome_unknown");
        this->log.write("requests", "request_outcome_unknown", {{"request", request.id}});
        request.respond(problem{.status = status_bad_gateway,
                                .outcome = work_outcome::unknown,
                                .code = "no_answer",
                                .message = "the target gave no answer; the request may have run",
                                .retry_after = std::nullopt}
                            .response());
    }
    this->forget(number);
}

void request_service::forget(std::uint64_t number)
{
    const auto node = this->requests.extract(number);
    this->waiting->ended(number);
    if (!node.mapped().target.empty())
        this->registry.release(node.mapped().target, node.mapped().team, node.mapped().demand);
}

void request_service::expire()
{
    for (const auto& work : this->waiting->expire(monotonic_clock::now())) {
        this->refuse(this->requests.at(work.id), status_unavailable, "deadline_passed",
                     "no target came free before the deadline");
        this->requests.erase(work.id);
    }
}

void request_service::refuse(held_request& request, int status, std::string_view code,
                             std::string_view message)
{
    this->metrics.add("requests_not_run");
    this->log.write("requests", "request_not_run", {{"request", request.id}, {"code", code}});
    request.respond(problem{.status = status,
                            .outcome = work_outcome::not_run,
                            .code = code,
                            .message = message,
                            .retry_after = this->draining ? retry_after_drain : retry_after_full}
                        .response());
}

} // namespace verbenalever
