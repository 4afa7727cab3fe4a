#include "requests/request_forwarder.h"

#include "configuration/configuration_store.h"
#include "membership/peer_mesh.h"
#include "requests/request_work.h"
#include "requests/target_sender.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"
#include "wire/frame_connection.h"

#include <array>
#include <vector>

namespace verbenalever {

namespace {

constexpr milliseconds check_interval{50};
/// Bytes reserved in a frame for everything but the body.
constexpr std::size_t frame_overhead = 4096;
/// How long the sender waits past the deadline for an answer that the peer sent just before it.
constexpr milliseconds answer_grace{20};
constexpr int status_ok = 200;

constexpr std::array<std::pair<attempt_outcome, std::string_view>, 3> outcome_names = {{
    {attempt_outcome::answered, "answered"},
    {attempt_outcome::not_run, "not_run"},
    {attempt_outcome::unknown, "unknown"},
}};

std::string outcome_name(attempt_outcome outcome)
{
    for (const auto& [value, name] : outcome_names) {
        if (value == outcome)
            return std::string(name);
    }
    return "unknown";
}

attempt_outcome parse_outcome(std::string_view text)
{
    for (const auto& [value, name] : outcome_names) {
        if (name == text)
            return value;
    }
    return attempt_outcome::unknown;
}

bool fits_frame(std::size_t body_bytes)
{
    return body_bytes + frame_overhead <= frame_connection::frame_limit;
}

} // namespace

request_forwarder::request_forwarder(event_loop& loop, const entry_settings& settings,
                                     const configuration_store& configuration, peer_mesh& mesh,
                                     target_sender& sender, counters& metrics, const event_log& log)
    : configuration(configuration), mesh(mesh), sender(sender), metrics(metrics), log(log),
      incarnation(static_cast<std::uint64_t>(wall_microseconds())),
      capacity(settings.availability_zone, this->incarnation),
      check_timer(loop, [this] { this->fail_lost_attempts(); })
{
    this->mesh.on<forward_request>([this](const std::string& from, const forward_request& message) {
        this->handle_forward_request(from, message);
    });
    this->mesh.on<forward_answer>([this](const std::string& from, const forward_answer& message) {
        this->handle_forward_answer(from, message);
    });
    this->check_timer.start_repeating(check_interval);
}

std::string request_forwarder::choose_peer(const request_work& work,
                                           const peer_capacity::name_set& avoided)
{
    if (!fits_frame(work.body.size()))
        return {};
    return std::string(this->capacity.choose(this->mesh.peers(), avoided, monotonic_clock::now()));
}

void request_forwarder::send(const request_work& work, const std::string& peer,
                             microseconds timeout, done_callback done)
{
    const auto now = monotonic_clock::now();
    const auto& state = this->mesh.peers().find(peer)->second;
    this->capacity.record_sent(state);
    this->metrics.add("requests_forwarded");
    this->log.write("requests", "request_forwarded", {{"request", work.id}, {"peer", peer}});
    const auto correlation = ++this->last_correlation;
    this->sent_attempts.emplace(correlation,
                                sent_attempt{.peer = peer,
                                             .peer_incarnation = state.last_heartbeat.incarnation,
                                             .request_id = work.id,
                                             .expires_at = now + timeout + answer_grace,
                                             .done = std::move(done)});
    this->mesh.send(peer, forward_request{.correlation = correlation,
                                          .incarnation = this->incarnation,
                                          .id = work.id,
                                          .queue = work.queue,
                                          .team = work.team,
                                          .repeatable = work.repeatable,
                                          .body = work.body,
                                          .left_us = timeout.count()});
}

void request_forwarder::drain()
{
    this->draining = true;
}

std::size_t request_forwarder::running_for_peers() const
{
    return this->running_for_peer.size();
}

void request_forwarder::handle_forward_request(const std::string& from,
                                               const forward_request& message)
{
    const incoming_key key{from, message.incarnation, message.correlation};
    if (this->running_for_peer.contains(key)) {
        this->metrics.add("forward_requests_doubled");
        return;
    }
    this->running_for_peer.insert(key);
    const auto& queues = this->configuration.current().queues;
    const auto queue = queues.find(message.queue);
    if (this->draining || queue == queues.end() || message.left_us <= 0)
        return this->send_forward_answer(key,
                                         {.outcome = attempt_outcome::not_run, .code = "refused"});
    const request_work work{.id = message.id,
                            .queue = message.queue,
                            .team = message.team,
                            .repeatable = message.repeatable,
                            .body = message.body,
                            .demand = queue->second.demand,
                            .deadline = monotonic_clock::now() + microseconds(message.left_us)};
    const auto target = this->sender.place(work, {});
    if (!target) {
        this->metrics.add("forward_requests_refused");
        return this->send_forward_answer(key,
                                         {.outcome = attempt_outcome::not_run, .code = "no_room"});
    }
    this->metrics.add("forward_requests_taken");
    this->sender.send(
        work, *target, microseconds(message.left_us),
        [this, key](const attempt_result& result) { this->send_forward_answer(key, result); });
}

void request_forwarder::send_forward_answer(const incoming_key& key, const attempt_result& result)
{
    const auto& [peer, peer_incarnation, correlation] = key;
    forward_answer answer{.correlation = correlation,
                          .incarnation = peer_incarnation,
                          .outcome = outcome_name(result.outcome)};
    if (result.outcome == attempt_outcome::answered) {
        answer.status = result.response.status;
        answer.content_type = find_header(result.response.headers, "Content-Type").value_or("");
        answer.body = result.response.body;
    }
    // The request ran, but its answer is too large for one frame.
    if (!fits_frame(answer.body.size())) {
        answer.outcome = outcome_name(attempt_outcome::unknown);
        answer.body.clear();
    }
    this->mesh.send(peer, answer);
    this->running_for_peer.erase(key);
}

void request_forwarder::handle_forward_answer(const std::string& from,
                                              const forward_answer& message)
{
    const auto found = this->sent_attempts.find(message.correlation);
    if (message.incarnation != this->incarnation || found == this->sent_attempts.end() ||
        found->second.peer != from) {
        this->metrics.add("forward_answers_late");
        return;
    }
    const auto attempt = std::move(found->second);
    this->sent_attempts.erase(found);
    attempt_result result{.outcome = parse_outcome(message.outcome), .response = {}, .code = {}};
    if (result.outcome == attempt_outcome::answered)
        result.response = {
            .status = message.status == 0 ? status_ok : message.status,
            .headers = {{"Content-Type", message.content_type}, {"Request-Id", attempt.request_id}},
            .body = message.body};
    else
        result.code = result.outcome == attempt_outcome::not_run ? peer_refused : "no_answer";
    if (const auto peer = this->mesh.peers().find(from);
        result.outcome == attempt_outcome::not_run && peer != this->mesh.peers().end())
        this->capacity.record_refusal(peer->second);
    attempt.done(std::move(result));
}

std::string_view request_forwarder::loss_reason(const sent_attempt& attempt,
                                                monotonic_time now) const
{
    if (now >= attempt.expires_at)
        return "no_answer";
    const auto peer = this->mesh.peers().find(attempt.peer);
    const bool peer_is_connected =
        peer != this->mesh.peers().end() && peer->second.alive &&
        peer->second.last_heartbeat.incarnation == attempt.peer_incarnation;
    return peer_is_connected ? "" : "peer_lost";
}

void request_forwarder::fail_lost_attempts()
{
    const auto now = monotonic_clock::now();
    std::vector<std::pair<sent_attempt, std::string_view>> lost_attempts;
    std::erase_if(this->sent_attempts, [this, now, &lost_attempts](auto& entry) {
        const auto reason = this->loss_reason(entry.second, now);
        if (reason.empty())
            return false;
        lost_attempts.emplace_back(std::move(entry.second), reason);
        return true;
    });
    for (const auto& [attempt, reason] : lost_attempts) {
        this->metrics.add("forwards_unanswered");
        this->capacity.record_no_answer(attempt.peer, now);
        attempt.done({.outcome = attempt_outcome::unknown,
                      .response = {},
                      .code = reason,
                      .timed_out = reason == "no_answer"});
    }
}

} // namespace verbenalever
