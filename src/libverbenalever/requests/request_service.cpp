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
constexpr milliseconds shortest_back_off{10};
constexpr int attempts_limit = 5;
/// Retries of what may have run, as a share of first attempts, and how many may be saved up.
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
      claims(store, metrics, settings.http.text()), retries(retry_share, retry_burst),
      waiting(make_queue_policy(configuration.current(), shares)),
      random(static_cast<std::uint64_t>(wall_microseconds())),
      tick_timer(loop, [this] { this->tick(); })
{
    this->registry.on_room([this] { this->dispatch(); });
    configuration.on_change([this, &shares](const operator_configuration& changed) {
        this->waiting = replace_queue_policy(*this->waiting, changed, shares);
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
                   this->take(request, parameters.at("queue"), respond);
               });
}

void request_service::drain()
{
    this->draining = true;
    this->forwarder.drain();
}

std::size_t request_service::held() const
{
    return this->requests.size() + this->forwarder.running_for_peers();
}

std::size_t request_service::queued() const
{
    return this->waiting->size();
}

void request_service::take(const http_request& request, const std::string& queue,
                           const http_responder& respond)
{
    auto read = this->admission.read(request, queue);
    if (auto* refusal = std::get_if<http_response>(&read))
        return respond(std::move(*refusal));
    auto& taken = std::get<held_request>(read);
    taken.respond = [respond](const request_answer& answer) { respond(answer.response); };
    if (const auto key = taken.resend_key();
        !key.empty() && !this->resends.begin(key, taken.respond, taken.arrival)) {
        this->metrics.add("requests_resent");
        this->log.write("requests", "request_resent", {{"caller_id", taken.caller_id}});
        return;
    }
    this->begin(std::move(taken));
}

void request_service::begin(held_request request)
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
    auto& held = this->requests.emplace(number, std::move(request)).first->second;
    if (refusal)
        return this->finish(number, *refusal);
    if (held.resend_key().empty())
        return this->wait_for_place(held);
    this->claim(held);
}

void request_service::claim(held_request& request)
{
    const auto key = request.resend_key();
    const auto writer = this->resends.writer(key);
    request.phase = request_phase::claiming;
    request.claim_begun = true;
    request.wake_at = request.work.deadline;
    this->parked.emplace(request.wake_at, request.number);
    this->claims.claim(key, writer,
                       [this, number = request.number, key, writer](request_claims::result result,
                                                                    const std::string& holder) {
                           this->claimed(number, key, writer, result, holder);
                       });
}

void request_service::claimed(std::uint64_t number, const std::string& key,
                              const std::string& writer, request_claims::result result,
                              const std::string& holder)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end()) {
        // Given up at its deadline, before the store answered.
        if (result == request_claims::result::claimed)
            this->claims.release(key, writer);
        return;
    }
    if (result == request_claims::result::taken)
        return this->finish(number, taken_answer(holder));
    if (result == request_claims::result::unavailable)
        return this->finish(number, not_run_answer(status_unavailable, "claim_failed",
                                                   "the Request-Id could not be claimed",
                                                   retry_after_claim));
    this->wait_for_place(found->second);
}

void request_service::wait_for_place(held_request& request)
{
    request.phase = request_phase::waiting;
    this->loads[request.work.queue].joined(monotonic_clock::now());
    const auto& queue = this->configuration.current().queues.find(request.work.queue);
    const bool known = queue != this->configuration.current().queues.end();
    this->waiting->push({.id = request.number,
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
        const bool tried = !this->requests.at(work.id).tried.empty();
        if (tried || this->registry.has_room(work.demand))
            return start_verdict(false);
        return start_verdict::no_capacity();
    };
    while (const auto work = this->waiting->pop_next(can_start, monotonic_clock::now()))
        this->start(this->requests.at(work->id), to);
    this->dispatching = false;
}

bool request_service::find_destination(const queued_work& work, destination& found)
{
    const auto& request = this->requests.at(work.id);
    found = {};
    const auto service = this->loads[work.queue].service.nearly_all();
    found.too_late = monotonic_clock::now() + service > work.deadline;
    if (found.too_late)
        return true;
    if (const auto target = this->sender.place(request.work, request.tried)) {
        found.target = *target;
        return true;
    }
    found.peer = this->forwarder.choose(request.work, request.tried);
    if (!found.peer.empty() || request.tried.empty())
        return !found.peer.empty();
    // Only places that it has tried are left: better those than to hold up the queue.
    if (const auto target = this->sender.place(request.work, {}))
        found.target = *target;
    else
        found.peer = this->forwarder.choose(request.work, {});
    return !found.target.empty() || !found.peer.empty();
}

void request_service::start(held_request& request, const destination& to)
{
    const auto now = monotonic_clock::now();
    this->loads[request.work.queue].left(now, !to.too_late);
    if (to.too_late)
        return this->give_up(request, status_unavailable, "deadline_unreachable",
                             "too little time was left to answer before the deadline");
    request.phase = request_phase::sent;
    request.sent_at = now;
    if (request.attempts++ == 0)
        this->retries.first_attempt();
    const auto timeout = this->attempt_timeout(request);
    const auto done = [this, number = request.number](attempt_result result) {
        this->attempt_ended(number, std::move(result));
    };
    request.tried.insert(to.peer.empty() ? to.target : to.peer);
    if (to.peer.empty())
        this->sender.send(request.work, to.target, timeout, done);
    else
        this->forwarder.send(request.work, to.peer, timeout, done);
}

microseconds request_service::attempt_timeout(const held_request& request)
{
    const auto left =
        std::chrono::duration_cast<microseconds>(request.work.deadline - monotonic_clock::now());
    const auto usual = this->loads[request.work.queue].service.timeout();
    // An attempt is only cut short where another may follow.
    if (!request.work.repeatable || !usual || !this->retries.available())
        return left;
    return std::min(left, *usual);
}

void request_service::attempt_ended(std::uint64_t number, attempt_result result)
{
    auto& request = this->requests.at(number);
    this->waiting->work_ended(number);
    if (result.outcome == attempt_outcome::answered && !result.failed())
        this->loads[request.work.queue].service.add(
            std::chrono::duration_cast<microseconds>(monotonic_clock::now() - request.sent_at));
    if (result.outcome != attempt_outcome::not_run)
        request.may_have_run = true;
    if (result.code == peer_refused) {
        // The peer's room was out of date; that costs the request nothing but the hop.
        --request.attempts;
        request.tried.clear();
        return this->wait_for_place(request);
    }
    if (this->may_retry(request, result)) {
        if (result.outcome == attempt_outcome::answered)
            request.last_answer = std::move(result.response);
        return this->back_off(request);
    }
    if (result.outcome == attempt_outcome::answered)
        return this->finish(
            number, {.outcome = attempt_outcome::answered, .response = std::move(result.response)});
    if (result.outcome == attempt_outcome::unknown && !request.last_answer)
        return this->finish(number, unknown_answer(result));
    this->give_up(request, status_unavailable, result.code, "no target took the request");
}

bool request_service::may_retry(const held_request& request, const attempt_result& result)
{
    if (request.attempts >= attempts_limit ||
        monotonic_clock::now() + shortest_back_off >= request.work.deadline)
        return false;
    if (result.outcome == attempt_outcome::not_run)
        return true;
    const bool complete = result.outcome == attempt_outcome::answered && !result.failed();
    if (complete || !request.work.repeatable || !this->retries.take())
        return false;
    this->metrics.add("requests_retried");
    return true;
}

void request_service::back_off(held_request& request)
{
    const auto longest = shortest_back_off * (1 << request.attempts);
    std::uniform_int_distribution<std::int64_t> pick(0, microseconds(longest).count());
    request.phase = request_phase::backing_off;
    request.wake_at =
        std::min(monotonic_clock::now() + microseconds(pick(this->random)), request.work.deadline);
    this->parked.emplace(request.wake_at, request.number);
}

void request_service::tick()
{
    const auto now = monotonic_clock::now();
    while (!this->parked.empty() && this->parked.begin()->first <= now) {
        const auto [at, number] = *this->parked.begin();
        this->parked.erase(this->parked.begin());
        this->wake(number, at);
    }
    for (const auto& work : this->waiting->pop_expired(now)) {
        this->loads[work.queue].left(now, false);
        this->give_up(this->requests.at(work.id), status_unavailable, "deadline_passed",
                      "no target came free before the deadline");
    }
    if (this->waiting->size() > 0)
        this->dispatch();
}

void request_service::wake(std::uint64_t number, monotonic_time at)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end() || found->second.wake_at != at)
        return;
    auto& request = found->second;
    if (request.phase == request_phase::claiming)
        this->give_up(request, status_unavailable, "claim_failed",
                      "the Request-Id could not be claimed before the deadline");
    else if (request.phase == request_phase::backing_off)
        this->wait_for_place(request);
}

void request_service::give_up(held_request& request, int status, std::string_view code,
                              std::string_view message)
{
    const auto number = request.number;
    if (request.last_answer)
        return this->finish(number, {.outcome = attempt_outcome::answered,
                                     .response = *std::move(request.last_answer)});
    if (request.may_have_run)
        return this->finish(number, unknown_answer({.response = {}, .code = code}));
    const auto retry_after = this->loads[request.work.queue].retry_after();
    this->finish(number, not_run_answer(status, code, message, retry_after));
}

void request_service::finish(std::uint64_t number, const request_answer& answer)
{
    const auto node = this->requests.extract(number);
    this->waiting->work_ended(number);
    const auto& request = node.mapped();
    report_answer(request, answer, this->metrics, this->log);
    if (const auto key = request.resend_key(); !key.empty()) {
        if (request.claim_begun && answer.outcome == attempt_outcome::not_run)
            this->claims.release(key, this->resends.writer(key));
        this->resends.finish(key, answer, monotonic_clock::now());
    }
    request.respond(answer);
}

} // namespace verbenalever
