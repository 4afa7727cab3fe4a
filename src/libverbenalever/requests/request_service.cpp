#include "requests/request_service.h"

#include "configuration/configuration_store.h"
#include "http/router.h"
#include "requests/final_answer.h"
#include "requests/request_report.h"
#include "scheduling/policy_factory.h"
#include "scheduling/queue_policy.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <algorithm>

namespace verbenalever {

namespace {

constexpr milliseconds tick_interval{10};
constexpr milliseconds retry_after_claim{1000};
constexpr milliseconds min_back_off{10};
constexpr int max_attempts = 5;
/// Retries of requests that may have run: allowed per first attempt, and how many may be saved up.
constexpr double retry_share = 0.1;
constexpr double retry_burst = 20;
constexpr int status_unavailable = 503;

} // namespace

request_service::request_service(event_loop& loop, const entry_settings& settings,
                                 configuration_store& configuration, const access_control& access,
                                 target_registry& registry, target_client& client, peer_mesh& mesh,
                                 kv_client& store, share_ledger& shares, counters& metrics,
                                 const event_log& log)
    : configuration(configuration), registry(registry), metrics(metrics), log(log),
      admission(configuration, access), sender(registry, client, metrics, log),
      forwarder(loop, settings, configuration, mesh, this->sender, metrics, log),
      id_claims(store, metrics, settings.http.text()), retries(retry_share, retry_burst),
      queued_requests(make_queue_policy(configuration.current(), shares)),
      random(static_cast<std::uint64_t>(wall_microseconds())),
      tick_timer(loop, [this] { this->tick(); })
{
    this->registry.on_capacity_freed([this] { this->dispatch(); });
    configuration.on_change([this, &shares](const operator_configuration& changed) {
        this->queued_requests = replace_queue_policy(*this->queued_requests, changed, shares);
        this->sender.configure(changed);
    });
    this->tick_timer.start_repeating(tick_interval);
}

request_service::~request_service() = default;

void request_service::add_routes(router& routes)
{
    routes.add("POST", "/v1/requests/{queue}",
               [this](const http_request& request, const path_parameters& parameters,
                      const http_responder& respond) {
                   this->handle_request(request, parameters.at("queue"), respond);
               });
}

void request_service::drain()
{
    this->draining = true;
    this->forwarder.drain();
}

std::size_t request_service::unanswered() const
{
    return this->requests.size() + this->forwarder.running_for_peers();
}

std::size_t request_service::queued() const
{
    return this->queued_requests->size();
}

void request_service::handle_request(const http_request& request, const std::string& queue,
                                     const http_responder& respond)
{
    auto parsed = this->admission.parse(request, queue);
    if (auto* refusal = std::get_if<http_response>(&parsed))
        return respond(std::move(*refusal));
    auto& parsed_request = std::get<pending_request>(parsed);
    parsed_request.respond = [respond](const request_answer& answer) { respond(answer.response); };
    if (const auto key = parsed_request.resend_key();
        !key.empty() &&
        !this->resends.begin_or_join(key, parsed_request.respond, parsed_request.arrival)) {
        this->metrics.add("requests_resent");
        this->log.write("requests", "request_resent", {{"caller_id", parsed_request.caller_id}});
        return;
    }
    this->accept(std::move(parsed_request));
}

void request_service::accept(pending_request request)
{
    request.number = ++this->last_number;
    this->metrics.add("requests_received");
    this->log.write("requests", "request_taken",
                    {{"request", request.work.id},
                     {"caller_id", request.caller_id},
                     {"team", request.work.team},
                     {"queue", request.work.queue},
                     {"repeatable", request.work.repeatable}});
    const auto refusal =
        this->admission.refusal(request, this->loads[request.work.queue], this->draining);
    const auto number = request.number;
    auto& pending = this->requests.emplace(number, std::move(request)).first->second;
    if (refusal)
        return this->finish(number, *refusal);
    if (pending.resend_key().empty())
        return this->enqueue(pending);
    this->claim_id(pending);
}

void request_service::claim_id(pending_request& request)
{
    const auto key = request.resend_key();
    const auto writer = this->resends.claim_writer(key);
    request.phase = request_phase::claiming;
    request.claim_sent = true;
    request.wake_at = request.work.deadline;
    this->wake_times.emplace(request.wake_at, request.number);
    this->id_claims.claim(key, writer,
                          [this, number = request.number, key,
                           writer](request_id_claims::result result, const std::string& holder) {
                              this->handle_claim_result(number, key, writer, result, holder);
                          });
}

void request_service::handle_claim_result(std::uint64_t number, const std::string& key,
                                          const std::string& writer,
                                          request_id_claims::result result,
                                          const std::string& holder)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end()) {
        // The request was finished at its deadline, before the store answered.
        if (result == request_id_claims::result::claimed)
            this->id_claims.release(key, writer);
        return;
    }
    if (result == request_id_claims::result::claimed_elsewhere)
        return this->finish(number, id_claimed_elsewhere_answer(holder));
    if (result == request_id_claims::result::unavailable)
        return this->finish(number, not_run_answer(status_unavailable, "claim_failed",
                                                   "the Request-Id could not be claimed",
                                                   retry_after_claim));
    this->enqueue(found->second);
}

void request_service::enqueue(pending_request& request)
{
    request.phase = request_phase::queued;
    this->loads[request.work.queue].request_queued(monotonic_clock::now());
    const auto& queue = this->configuration.current().queues.find(request.work.queue);
    const bool known = queue != this->configuration.current().queues.end();
    this->queued_requests->push({.id = request.number,
                                 .queue = request.work.queue,
                                 .team = request.work.team,
                                 .priority = known ? queue->second.priority : 0,
                                 .arrival = request.arrival,
                                 .deadline = request.work.deadline,
                                 .demand = request.work.demand});
    this->dispatch();
}

void request_service::dispatch()
{
    if (this->dispatching)
        return;
    this->dispatching = true;
    destination to;
    const auto can_start = [this, &to](const queued_work& work) {
        if (this->find_destination(work, to))
            return start_verdict(true);
        const bool was_attempted = !this->requests.at(work.id).tried_destinations.empty();
        if (was_attempted || this->registry.has_capacity(work.demand))
            return start_verdict(false);
        return start_verdict::no_capacity();
    };
    while (const auto work = this->queued_requests->pop_next(can_start, monotonic_clock::now()))
        this->send_attempt(this->requests.at(work->id), to);
    this->dispatching = false;
}

bool request_service::find_destination(const queued_work& work, destination& found)
{
    const auto& request = this->requests.at(work.id);
    found = {};
    const auto expected_response_time = this->loads[work.queue].response_time.high_estimate();
    found.deadline_unreachable = monotonic_clock::now() + expected_response_time > work.deadline;
    if (found.deadline_unreachable)
        return true;
    if (const auto target = this->sender.place(request.work, request.tried_destinations)) {
        found.target = *target;
        return true;
    }
    found.peer = this->forwarder.choose_peer(request.work, request.tried_destinations);
    if (!found.peer.empty() || request.tried_destinations.empty())
        return !found.peer.empty();
    // Only destinations of earlier attempts are left: use them rather than block the queue.
    if (const auto target = this->sender.place(request.work, {}))
        found.target = *target;
    else
        found.peer = this->forwarder.choose_peer(request.work, {});
    return !found.target.empty() || !found.peer.empty();
}

void request_service::send_attempt(pending_request& request, const destination& to)
{
    const auto now = monotonic_clock::now();
    this->loads[request.work.queue].request_dequeued(now, !to.deadline_unreachable);
    if (to.deadline_unreachable)
        return this->finish_without_success(
            request, status_unavailable, "deadline_unreachable",
            "too little time is left to answer before the deadline");
    request.phase = request_phase::sent;
    request.sent_at = now;
    if (request.attempts++ == 0)
        this->retries.record_first_attempt();
    const auto timeout = this->attempt_timeout(request);
    const auto done = [this, number = request.number](attempt_result result) {
        this->handle_attempt_result(number, std::move(result));
    };
    request.tried_destinations.insert(to.peer.empty() ? to.target : to.peer);
    if (to.peer.empty())
        this->sender.send(request.work, to.target, timeout, done);
    else
        this->forwarder.send(request.work, to.peer, timeout, done);
}

microseconds request_service::attempt_timeout(const pending_request& request)
{
    const auto time_left =
        std::chrono::duration_cast<microseconds>(request.work.deadline - monotonic_clock::now());
    const auto usual_timeout = this->loads[request.work.queue].response_time.timeout();
    // The timeout is shortened only if a retry is possible.
    if (!request.work.repeatable || !usual_timeout || !this->retries.available())
        return time_left;
    return std::min(time_left, *usual_timeout);
}

void request_service::handle_attempt_result(std::uint64_t number, attempt_result result)
{
    auto& request = this->requests.at(number);
    this->queued_requests->work_ended(number);
    if (result.outcome == attempt_outcome::answered && !result.failed())
        this->loads[request.work.queue].response_time.add(
            std::chrono::duration_cast<microseconds>(monotonic_clock::now() - request.sent_at));
    if (result.outcome != attempt_outcome::not_run)
        request.may_have_run = true;
    if (result.code == peer_refused) {
        // The peer's free slots were outdated; this does not count as an attempt.
        --request.attempts;
        request.tried_destinations.clear();
        return this->enqueue(request);
    }
    if (this->take_retry(request, result)) {
        if (result.outcome == attempt_outcome::answered)
            request.last_answer = std::move(result.response);
        return this->back_off(request);
    }
    if (result.outcome == attempt_outcome::answered)
        return this->finish(
            number, {.outcome = attempt_outcome::answered, .response = std::move(result.response)});
    if (result.outcome == attempt_outcome::unknown && !request.last_answer)
        return this->finish(number, outcome_unknown_answer(result));
    this->finish_without_success(request, status_unavailable, result.code,
                                 "no target ran the request");
}

bool request_service::take_retry(const pending_request& request, const attempt_result& result)
{
    if (request.attempts >= max_attempts ||
        monotonic_clock::now() + min_back_off >= request.work.deadline)
        return false;
    if (result.outcome == attempt_outcome::not_run)
        return true;
    const bool complete = result.outcome == attempt_outcome::answered && !result.failed();
    if (complete || !request.work.repeatable || !this->retries.try_take())
        return false;
    this->metrics.add("requests_retried");
    return true;
}

void request_service::back_off(pending_request& request)
{
    const auto max_back_off = min_back_off * (1 << request.attempts);
    std::uniform_int_distribution<std::int64_t> pick(0, microseconds(max_back_off).count());
    request.phase = request_phase::backing_off;
    request.wake_at =
        std::min(monotonic_clock::now() + microseconds(pick(this->random)), request.work.deadline);
    this->wake_times.emplace(request.wake_at, request.number);
}

void request_service::tick()
{
    const auto now = monotonic_clock::now();
    while (!this->wake_times.empty() && this->wake_times.begin()->first <= now) {
        const auto [at, number] = *this->wake_times.begin();
        this->wake_times.erase(this->wake_times.begin());
        this->wake(number, at);
    }
    for (const auto& work : this->queued_requests->pop_expired(now)) {
        this->loads[work.queue].request_dequeued(now, false);
        this->finish_without_success(this->requests.at(work.id), status_unavailable,
                                     "deadline_passed",
                                     "no target had free capacity before the deadline");
    }
    if (this->queued_requests->size() > 0)
        this->dispatch();
}

void request_service::wake(std::uint64_t number, monotonic_time at)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end() || found->second.wake_at != at)
        return;
    auto& request = found->second;
    if (request.phase == request_phase::claiming)
        this->finish_without_success(request, status_unavailable, "claim_failed",
                                     "the Request-Id could not be claimed before the deadline");
    else if (request.phase == request_phase::backing_off)
        this->enqueue(request);
}

void request_service::finish_without_success(pending_request& request, int status,
                                             std::string_view code, std::string_view message)
{
    const auto number = request.number;
    if (request.last_answer)
        return this->finish(number, {.outcome = attempt_outcome::answered,
                                     .response = *std::move(request.last_answer)});
    if (request.may_have_run)
        return this->finish(number, outcome_unknown_answer({.response = {}, .code = code}));
    const auto retry_after = this->loads[request.work.queue].retry_after();
    this->finish(number, not_run_answer(status, code, message, retry_after));
}

void request_service::finish(std::uint64_t number, const request_answer& answer)
{
    const auto node = this->requests.extract(number);
    this->queued_requests->work_ended(number);
    const auto& request = node.mapped();
    report_answer(request, answer, this->metrics, this->log);
    if (const auto key = request.resend_key(); !key.empty()) {
        if (request.claim_sent && answer.outcome == attempt_outcome::not_run)
            this->id_claims.release(key, this->resends.claim_writer(key));
        this->resends.finish(key, answer, monotonic_clock::now());
    }
    request.respond(answer);
}

} // namespace verbenalever
